//! Framing of HTTP/1.1 requests, which must be unambiguous.

use http::Uri;
use httparse::{EMPTY_HEADER, Error, Header, Request, Status};

use super::guard::FAULT_METHOD;
use crate::outcome::Reason;

/// Maximum value of the limit on the number of headers.
pub const HEADER_COUNT_MAX: usize = 256;

/// How the body of a request is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// A body of this many bytes.
    Length(u64),
    /// The chunked transfer coding.
    Chunked,
}

/// Returns the length of the head at the start of `bytes`, including its empty line.
pub fn head_end(bytes: &[u8]) -> Option<usize> {
    let at = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    Some(at + 4)
}

/// Checks a complete head and returns how the body after it is framed.
///
/// # Errors
///
/// Returns the reason for which the request is refused.
pub fn check_head(head: &[u8], header_count: usize) -> Result<Framing, Reason> {
    if !has_clean_lines(head) {
        return Err(Reason::BadRequest);
    }
    let mut parsed = [EMPTY_HEADER; HEADER_COUNT_MAX];
    let mut request = Request::new(&mut parsed[..header_count.min(HEADER_COUNT_MAX)]);
    match request.parse(head) {
        Ok(Status::Complete(_)) => {}
        Err(Error::TooManyHeaders) => return Err(Reason::HeadersTooLarge),
        _ => return Err(Reason::BadRequest),
    }
    check_request_line(&request)?;
    if count(request.headers, "host") != 1 {
        return Err(Reason::BadRequest);
    }
    framing(request.headers)
}

/// Returns true if every line ends with CR LF and neither occurs elsewhere.
fn has_clean_lines(head: &[u8]) -> bool {
    head.iter().enumerate().all(|(i, byte)| match byte {
        b'\n' => i > 0 && head[i - 1] == b'\r',
        b'\r' => head.get(i + 1) == Some(&b'\n'),
        0 => false,
        _ => true,
    })
}

fn check_request_line(request: &Request<'_, '_>) -> Result<(), Reason> {
    let (Some(method), Some(target), Some(1)) = (request.method, request.path, request.version)
    else {
        // In responses to older versions, truncation can't always be detected.
        return Err(Reason::BadRequest);
    };
    if method == FAULT_METHOD || Uri::try_from(target).is_err() {
        return Err(Reason::BadRequest);
    }
    match method {
        "CONNECT" => Err(Reason::MethodNotAllowed),
        _ => Ok(()),
    }
}

fn framing(headers: &[Header<'_>]) -> Result<Framing, Reason> {
    let lengths = count(headers, "content-length");
    let codings = count(headers, "transfer-encoding");
    match (lengths, codings) {
        (0, 0) => Ok(Framing::Length(0)),
        (1, 0) => value(headers, "content-length")
            .and_then(parse_length)
            .map(Framing::Length)
            .ok_or(Reason::BadRequest),
        (0, 1) if is_chunked(headers) => Ok(Framing::Chunked),
        _ => Err(Reason::BadRequest),
    }
}

fn is_chunked(headers: &[Header<'_>]) -> bool {
    value(headers, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case(b"chunked"))
}

/// Parses a length of digits only; a sign or a list is invalid.
fn parse_length(value: &[u8]) -> Option<u64> {
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| digits)?;
    text.parse().ok()
}

fn count(headers: &[Header<'_>], name: &str) -> usize {
    let same = |h: &&Header<'_>| h.name.eq_ignore_ascii_case(name);
    headers.iter().filter(same).count()
}

fn value<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a [u8]> {
    let mut same = headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
    same.next().map(|h| h.value)
}
