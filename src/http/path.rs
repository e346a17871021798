//! Checks that a path has the same meaning for the node and for every target.
//!
//! Targets differ in how they interpret encoded characters, repeated slashes, backslashes and
//! parameters in segments. A path that matches another route under one of these interpretations
//! could reach a resource for which its key was not checked.

/// Returns true if `path` starts with `/` and has no dot segments under any interpretation.
pub fn is_safe(path: &str) -> bool {
    let is_dot = |segment: &str| segment == "." || segment == "..";
    path.starts_with('/')
        && !path.split('/').any(is_dot)
        && !resolve(path).is_some_and(|text| text.split('/').any(is_dot))
}

/// Returns `path` as a lenient target may interpret it; `None` if it is unambiguous.
///
/// Encoded characters are decoded once, backslashes become slashes, parameters after `;` are
/// removed, and repeated slashes become one.
pub fn resolve(path: &str) -> Option<String> {
    let is_plain = !path.contains(['%', '\\', ';']) && !path.contains("//");
    if is_plain {
        return None;
    }
    let decoded = decode(path).replace('\\', "/");
    let mut resolved = String::with_capacity(decoded.len());
    for segment in decoded.split('/').filter(|s| !s.is_empty()) {
        resolved.push('/');
        resolved.push_str(segment.split(';').next().unwrap_or(segment));
    }
    if resolved.is_empty() || decoded.ends_with('/') {
        resolved.push('/');
    }
    Some(resolved)
}

fn decode(path: &str) -> String {
    let bytes = path.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while let Some(byte) = bytes.get(at) {
        match decode_at(bytes, at) {
            Some(decoded) => {
                out.push(decoded);
                at += 3;
            }
            None => {
                out.push(*byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Decodes `%XX` at `at`.
fn decode_at(bytes: &[u8], at: usize) -> Option<u8> {
    let code = bytes.get(at..at + 3)?;
    if code[0] != b'%' || !code[1..].iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    let digits = std::str::from_utf8(&code[1..]).ok()?;
    u8::from_str_radix(digits, 16).ok()
}
