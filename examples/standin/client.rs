//! A small HTTP/1.1 client for the stand-in and for tests.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// An error while a request is sent or its response is read.
pub type CallError = Box<dyn std::error::Error + Send + Sync>;

/// Sends one request on a new connection and reads the complete response.
pub async fn call(
    addr: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, CallError> {
    let stream = TcpStream::connect(addr).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let (head, body) = sender.send_request(request).await?.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(Response::from_parts(head, body))
}

/// Posts `body` and reads the complete response.
pub async fn post(
    addr: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Response<Bytes>, CallError> {
    let request = Request::post(path)
        .header("host", addr.to_string())
        .body(Full::new(body.into()))?;
    call(addr, request).await
}
