//! The configuration that results from applying release notes.

use std::sync::Arc;

use super::codec;
use super::edit::{Edits, Item, Location};
use super::keys::DigestIndex;
use super::model::{Account, Key, Route, RouteMatch, Service};
use super::note::{Note, NoteError};
use super::routes::{PathIndex, check_route};
use super::table::Table;
use crate::error::{Error, Result};
use crate::ids::{AccountName, KeyDigest, KeyName, RouteName, ServiceName};
use crate::units::NoteNumber;

/// The accounts, keys, services and routes after a release note.
///
/// Clones share their data, so that a node can apply a note to a clone and swap it in while
/// requests still read the old configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    number: NoteNumber,
    accounts: Table<Account>,
    keys: Table<Key>,
    services: Table<Service>,
    routes: Table<Route>,
    digests: Arc<DigestIndex>,
    paths: Arc<PathIndex>,
}

impl Config {
    /// Creates the empty configuration before the first note.
    pub fn new() -> Self {
        Config::default()
    }

    /// Returns the number of the last note; zero before the first.
    pub fn number(&self) -> NoteNumber {
        self.number
    }

    /// Applies a note as a whole.
    ///
    /// # Errors
    ///
    /// All rule violations of the note, in the order of their locations; the configuration is then
    /// unchanged.
    pub fn apply(&mut self, note: &Note) -> std::result::Result<(), Vec<NoteError>> {
        let mut errors = Vec::new();
        if let Some(message) = self.check_number(note) {
            errors.push(note.location.error(message));
        }
        let next = match note.base {
            None => self.with_note(note, &mut errors),
            Some(_) => Config::new().with_note(note, &mut errors),
        };
        if !errors.is_empty() {
            errors.sort();
            errors.dedup();
            return Err(errors);
        }
        *self = next;
        Ok(())
    }

    /// Returns what is wrong with the number of a note or of its base.
    fn check_number(&self, note: &Note) -> Option<String> {
        match note.base {
            None if note.number == self.number.next() => None,
            None => Some(format!(
                "number must be {}, not {}",
                self.number.next(),
                note.number
            )),
            Some(base) if base != self.number => {
                Some(format!("base must be {}, not {base}", self.number))
            }
            Some(_) if note.number <= self.number => Some(format!(
                "number must be above {}, not {}",
                self.number, note.number
            )),
            Some(_) => None,
        }
    }

    /// Returns the configuration after `note`; only meaningful if no error is reported.
    fn with_note(&self, note: &Note, errors: &mut Vec<NoteError>) -> Config {
        let accounts = self.accounts.apply(&note.accounts, errors);
        let keys = self.keys.apply(&note.keys, errors);
        let services = self.services.apply(&note.services, errors);
        let routes = self.routes.apply(&note.routes, errors);
        let digests = match keys.is_same(&self.keys) {
            true => Arc::clone(&self.digests),
            false => Arc::new(DigestIndex::build(keys.items())),
        };
        let paths = match routes.is_same(&self.routes) {
            true => Arc::clone(&self.paths),
            false => Arc::new(PathIndex::build(routes.items())),
        };
        let next = Config {
            number: note.number,
            accounts,
            keys,
            services,
            routes,
            digests,
            paths,
        };
        next.check_counts(note, errors);
        next.check_keys(note, errors);
        next.check_routes(note, errors);
        next
    }

    fn check_counts(&self, note: &Note, errors: &mut Vec<NoteError>) {
        check_count(&self.accounts, note.location, errors);
        check_count(&self.keys, note.location, errors);
        check_count(&self.services, note.location, errors);
        check_count(&self.routes, note.location, errors);
    }

    /// Checks the keys and accounts that the note affects; the others were checked before.
    fn check_keys(&self, note: &Note, errors: &mut Vec<NoteError>) {
        for edit in note.keys.added.iter().chain(&note.keys.changed) {
            let Some(key) = self.keys.get(&edit.name.value) else {
                continue;
            };
            if let Some(account) = &edit.account
                && self.accounts.get(&account.value).is_none()
            {
                let message = missing::<Account>(&account.value, &note.accounts);
                errors.push(account.location.error(message));
            }
            if let Some(digest) = &edit.digest
                && let Some(duplicate) = self.digests.duplicate(self.keys.items(), key)
            {
                let message = format!("key \"{}\" has the same digest", duplicate.name);
                errors.push(digest.location.error(message));
            }
        }
        let withdrawn = &note.accounts.withdrawn;
        for key in self.keys.items().iter().filter(|_| !withdrawn.is_empty()) {
            if let Ok(i) = withdrawn.binary_search_by(|name| name.value.cmp(&key.account)) {
                let message = format!("key \"{}\" still belongs to this account", key.name);
                errors.push(withdrawn[i].location.error(message));
            }
        }
    }

    /// Checks the routes and services that the note affects.
    fn check_routes(&self, note: &Note, errors: &mut Vec<NoteError>) {
        for edit in note.routes.added.iter().chain(&note.routes.changed) {
            let Some(route) = self.routes.get(&edit.name.value) else {
                continue;
            };
            if let Some(service) = &edit.service
                && self.services.get(&service.value).is_none()
            {
                let message = missing::<Service>(&service.value, &note.services);
                errors.push(service.location.error(message));
            }
            for share in edit.split.iter().flatten() {
                if self.services.get(&share.value.service).is_none() {
                    let message = missing::<Service>(&share.value.service, &note.services);
                    errors.push(share.location.error(message));
                }
            }
            if let Err(message) = check_route(route) {
                errors.push(edit.name.location.error(message));
            }
            if let Some(duplicate) = self.paths.duplicate(self.routes.items(), route) {
                let location = edit
                    .path
                    .as_ref()
                    .map_or(edit.name.location, |p| p.location);
                let message = format!("route \"{}\" has the same path and method", duplicate.name);
                errors.push(location.error(message));
            }
        }
        let withdrawn = &note.services.withdrawn;
        for route in self.routes.items().iter().filter(|_| !withdrawn.is_empty()) {
            for service in route.services() {
                if let Ok(i) = withdrawn.binary_search_by(|name| name.value.cmp(service)) {
                    let message = format!("route \"{}\" still leads to this service", route.name);
                    errors.push(withdrawn[i].location.error(message));
                }
            }
        }
    }

    /// Returns the account whose key has `digest`.
    ///
    /// The search compares digests in constant time.
    pub fn account_of(&self, digest: &KeyDigest) -> Option<&Account> {
        let key = self.digests.find(self.keys.items(), digest)?;
        self.accounts.get(&key.account)
    }

    /// Returns the account with `name`.
    pub fn account(&self, name: &AccountName) -> Option<&Account> {
        self.accounts.get(name)
    }

    /// Returns the key with `name`.
    pub fn key(&self, name: &KeyName) -> Option<&Key> {
        self.keys.get(name)
    }

    /// Returns the service with `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the route with `name`.
    pub fn route(&self, name: &RouteName) -> Option<&Route> {
        self.routes.get(name)
    }

    /// Finds the route of `host` with the longest path prefix, at segment boundaries, that matches
    /// `path`; a route without a host matches only if no route of the host does.
    ///
    /// The host is compared in lower case and without its port. Query and dot segments are handled
    /// as in [`Config::match_route_without_host`].
    pub fn match_route(&self, host: &str, method: &str, path: &str) -> RouteMatch<'_> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let name = name.to_ascii_lowercase();
        match self.paths.find(self.routes.items(), &name, method, path) {
            RouteMatch::NoRoute if !name.is_empty() => self.match_route_without_host(method, path),
            found => found,
        }
    }

    /// Finds the route without a host that has the longest path prefix that matches `path`; see
    /// [`Route::path`].
    ///
    /// The query is ignored. A path with a `.` or `..` segment matches no route.
    pub fn match_route_without_host(&self, method: &str, path: &str) -> RouteMatch<'_> {
        self.paths.find(self.routes.items(), "", method, path)
    }

    /// Lists the accounts, sorted by name.
    pub fn accounts(&self) -> impl ExactSizeIterator<Item = &Account> {
        self.accounts.items().iter().map(|a| &**a)
    }

    /// Lists the keys, sorted by name.
    pub fn keys(&self) -> impl ExactSizeIterator<Item = &Key> {
        self.keys.items().iter().map(|k| &**k)
    }

    /// Lists the services, sorted by name.
    pub fn services(&self) -> impl ExactSizeIterator<Item = &Service> {
        self.services.items().iter().map(|s| &**s)
    }

    /// Lists the routes, sorted by name.
    pub fn routes(&self) -> impl ExactSizeIterator<Item = &Route> {
        self.routes.items().iter().map(|r| &**r)
    }

    /// Returns the canonical encoding: one note that adds everything.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode_note(&Note {
            number: self.number,
            accounts: codec::as_added(self.accounts()),
            keys: codec::as_added(self.keys()),
            services: codec::as_added(self.services()),
            routes: codec::as_added(self.routes()),
            ..Note::default()
        })
    }

    /// Decodes a configuration from its canonical encoding and checks every rule.
    ///
    /// # Errors
    ///
    /// [`Category::Corrupt`](crate::error::Category::Corrupt) for any other bytes.
    pub fn decode(bytes: &[u8]) -> Result<Config> {
        let note = codec::decode_note(bytes)?;
        let mut errors = Vec::new();
        let config = Config::new().with_note(&note, &mut errors);
        match errors.first() {
            None => Ok(config),
            Some(e) => Err(Error::corrupt(format!("configuration: {}", e.message))),
        }
    }
}

fn check_count<T: Item>(table: &Table<T>, location: Location, errors: &mut Vec<NoteError>) {
    let count = table.items().len();
    if count > T::MAX {
        let message = format!("{count} {}s would be more than {}", T::KIND, T::MAX);
        errors.push(location.error(message));
    }
}

fn missing<T: Item>(name: &T::Name, edits: &Edits<T>) -> String {
    let withdrawn = edits.withdrawn.iter().any(|n| n.value == *name);
    let state = if withdrawn {
        "is withdrawn"
    } else {
        "does not exist"
    };
    format!("{} \"{name}\" {state}", T::KIND)
}
