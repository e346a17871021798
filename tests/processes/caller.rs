//! A small blocking HTTP client that returns raw responses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A raw response.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Status line and headers, in lower case.
    pub head: String,
    /// Body, not decoded if it is chunked.
    pub body: String,
}

impl Response {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        self.head.lines().find_map(|l| l.strip_prefix(&prefix))
    }

    /// Returns the reason of a refusal.
    pub fn reason(&self) -> &str {
        self.header("laburnum-reason").unwrap_or("")
    }
}

/// Sends one request and reads the whole response.
///
/// # Errors
///
/// Fails if the connection can't be opened or is lost before the headers have arrived.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
) -> std::io::Result<Response> {
    call_within(addr, method, path, headers, Duration::from_secs(30))
}

/// Sends one request, with a read timeout.
///
/// # Errors
///
/// As [`call`], and if a read times out.
pub fn call_within(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    timeout: Duration,
) -> std::io::Result<Response> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut request = format!("{method} {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\n");
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    if method == "POST" {
        request.push_str("content-length: 0\r\n");
    }
    request.push_str("\r\n");
    stream.write_all(request.as_bytes())?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes)?;
    let text = String::from_utf8_lossy(&bytes);
    let (head, body) = text
        .split_once("\r\n\r\n")
        .ok_or_else(|| std::io::Error::other("the response has no headers"))?;
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    Ok(Response {
        status: status.ok_or_else(|| std::io::Error::other("the response has no status"))?,
        head: head.to_lowercase(),
        body: body.to_owned(),
    })
}

/// Sends one request with an API key.
///
/// # Errors
///
/// As [`call`].
pub fn call_with_key(
    addr: SocketAddr,
    method: &str,
    path: &str,
    key: &str,
) -> std::io::Result<Response> {
    let value = format!("Bearer {key}");
    call(addr, method, path, &[("authorization", &value)])
}
