//! Validation of routes and their lookup by path.

use std::sync::Arc;
use std::time::Duration;

use super::model::{ANY_METHOD, Route, RouteMatch};
use super::{METHOD_MAX_BYTES, METHODS_MAX, PATH_MAX_BYTES, PATH_MAX_SEGMENTS};

/// Excess of the objective over the deadline at which a route is rejected.
///
/// No response arrives that late, so such an objective is a mistake.
const OBJECTIVE_EXCESS_MAX: Duration = Duration::from_secs(60);

/// Methods that RFC 9110 defines as safe; they are the default of a route's idempotent methods.
pub(super) const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// Indices of routes in the vector sorted by name, ordered by host and path.
#[derive(Clone, Debug, Default)]
pub(super) struct PathIndex {
    indices: Vec<u32>,
}

impl PathIndex {
    pub(super) fn build(routes: &[Arc<Route>]) -> Self {
        let mut indices: Vec<u32> = (0..routes.len() as u32).collect();
        indices.sort_by(|a, b| sort_key(&routes[*a as usize]).cmp(&sort_key(&routes[*b as usize])));
        PathIndex { indices }
    }

    /// Matches a request; `routes` must be the vector that the index was built from.
    pub(super) fn find<'a>(
        &self,
        routes: &'a [Arc<Route>],
        host: &str,
        method: &str,
        path: &str,
    ) -> RouteMatch<'a> {
        let path = path.split(['?', '#']).next().unwrap_or(path);
        if !path.starts_with('/') || path.split('/').any(is_dot_segment) {
            return RouteMatch::NoRoute;
        }
        for prefix in prefixes(path) {
            let mut same = self.with_key(routes, (host, prefix)).peekable();
            if same.peek().is_some() {
                return same
                    .find(|r| r.allows(method))
                    .map_or(RouteMatch::MethodNotAllowed, RouteMatch::Found);
            }
        }
        RouteMatch::NoRoute
    }

    /// Returns another route than `route` with the same host and path and a method in common.
    pub(super) fn duplicate<'a>(
        &self,
        routes: &'a [Arc<Route>],
        route: &Route,
    ) -> Option<&'a Route> {
        self.with_key(routes, sort_key(route))
            .filter(|other| other.name != route.name)
            .find(|other| share_method(other, route))
    }

    fn with_key<'a>(
        &self,
        routes: &'a [Arc<Route>],
        key: (&str, &str),
    ) -> impl Iterator<Item = &'a Route> {
        let at = |i: &u32| &*routes[*i as usize];
        let start = self.indices.partition_point(|i| sort_key(at(i)) < key);
        self.indices[start..]
            .iter()
            .map(at)
            .take_while(move |r| sort_key(r) == key)
    }
}

fn sort_key(route: &Route) -> (&str, &str) {
    (&route.host, &route.path)
}

fn share_method(a: &Route, b: &Route) -> bool {
    a.methods.iter().any(|m| b.allows(m)) || b.methods.iter().any(|m| a.allows(m))
}

/// Returns the prefixes of `path` that a route can have, longest first.
///
/// Each segment ends two of them: a prefix with a final slash covers what is below it, and one
/// without also covers the path itself.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    let slashes = path.match_indices('/').skip(1).map(|(i, _)| i);
    let slashes = slashes.take(PATH_MAX_SEGMENTS);
    let mut ends: Vec<usize> = slashes.flat_map(|i| [i, i + 1]).collect();
    if ends.len() < 2 * PATH_MAX_SEGMENTS {
        ends.push(path.len());
    }
    ends.into_iter()
        .rev()
        .filter(|end| *end <= PATH_MAX_BYTES)
        .map(move |end| &path[..end])
        .filter(|prefix| *prefix != "/")
        .chain(std::iter::once("/"))
}

/// Returns true for `.` and `..`, also percent-encoded.
///
/// A target that resolves such a segment would serve a path that belongs to another route.
fn is_dot_segment(segment: &str) -> bool {
    let plain = segment.to_ascii_lowercase().replace("%2e", ".");
    plain == "." || plain == ".."
}

/// Checks a path prefix, which may end with a slash, and returns what is wrong with it.
pub(super) fn check_path(path: &str) -> Result<(), String> {
    if path.len() > PATH_MAX_BYTES {
        return Err(format!("path is longer than {PATH_MAX_BYTES} bytes"));
    }
    let Some(rest) = path.strip_prefix('/') else {
        return Err("path must begin with '/'".to_owned());
    };
    if rest.is_empty() {
        return Ok(());
    }
    let rest = rest.strip_suffix('/').unwrap_or(rest);
    if rest.split('/').count() > PATH_MAX_SEGMENTS {
        return Err(format!("path has more than {PATH_MAX_SEGMENTS} segments"));
    }
    if rest.split('/').any(|s| s.is_empty() || is_dot_segment(s)) {
        return Err("path must not hold empty, '.' or '..' segments".to_owned());
    }
    let is_valid = |b: u8| b.is_ascii_graphic() && !b"?#\\\"<>".contains(&b);
    if !path.bytes().all(is_valid) {
        return Err("path may hold only visible ASCII without ? # \\ \" < >".to_owned());
    }
    Ok(())
}

/// Checks a list of methods and returns what is wrong with it.
pub(super) fn check_methods(methods: &[String]) -> Result<(), String> {
    if methods.len() > METHODS_MAX {
        return Err(format!("more than {METHODS_MAX} methods"));
    }
    for method in methods {
        let is_valid = |b: u8| b.is_ascii_uppercase() || b == b'-';
        if method == ANY_METHOD {
            continue;
        }
        let sized = (1..=METHOD_MAX_BYTES).contains(&method.len());
        if !sized || !method.bytes().all(is_valid) {
            return Err(format!("method {method:?} must be 1 to 16 of A-Z and '-'"));
        }
        if method == "CONNECT" {
            return Err("method CONNECT is not supported".to_owned());
        }
    }
    Ok(())
}

/// Checks the rules between the fields of a route.
pub(super) fn check_route(route: &Route) -> Result<(), String> {
    if route.methods.is_empty() {
        return Err("methods must not be empty".to_owned());
    }
    if route.split.iter().any(|s| s.weight == 0) {
        return Err("each weight of a split must be above zero".to_owned());
    }
    if route.objective >= route.deadline + OBJECTIVE_EXCESS_MAX {
        return Err("objective must be less than a minute above the deadline".to_owned());
    }
    match route.idempotent.iter().find(|m| !route.allows(m)) {
        Some(method) => Err(format!("idempotent method {method:?} is not in methods")),
        None => Ok(()),
    }
}
