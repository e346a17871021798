//! An HTTP client for the operator API of the control processes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::control::api::{Conflict, Failure, Invalid, NotLeader, NoteState, Status};
use crate::error::{Error, Result};
use crate::units::NoteNumber;
use crate::wire::Secret;

/// Timeout of one call, including the connect.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay before all addresses are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum size of a response body in bytes.
const RESPONSE_MAX_BYTES: usize = 16 * 1024 * 1024;

/// The response to a submitted note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitResponse {
    /// The note is in the log.
    Committed(NoteState),
    /// Another note with its number is in the log.
    Conflict(Conflict),
    /// The note is invalid.
    Invalid(Invalid),
}

/// A client for the operator API that tries every address and follows redirects to the leader.
#[derive(Debug)]
pub struct Client {
    addrs: Vec<SocketAddr>,
    secret: Secret,
    current: usize,
}

struct ApiResponse {
    status: StatusCode,
    body: Bytes,
}

impl ApiResponse {
    fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body)
            .map_err(|e| Error::invalid(format!("response with status {}: {e}", self.status)))
    }

    fn failure(&self) -> Error {
        let message = match self.json::<Failure>() {
            Ok(failure) => failure.message,
            Err(_) => format!("status {}", self.status),
        };
        Error::unavailable(message)
    }
}

impl Client {
    /// Creates a client for the operator addresses of the control processes.
    pub fn new(addrs: Vec<SocketAddr>, secret: Secret) -> Client {
        Client {
            addrs,
            secret,
            current: 0,
        }
    }

    /// Submits a note. Resending is safe: a note with the same number and content is committed
    /// once.
    ///
    /// # Errors
    ///
    /// Fails if no leader committed the note within `wait`.
    pub async fn submit(&mut self, text: &str, wait: Duration) -> Result<SubmitResponse> {
        let body = Bytes::from(text.to_owned());
        let response = self.call(Method::POST, "/notes", body, wait).await?;
        match response.status {
            StatusCode::OK => response.json().map(SubmitResponse::Committed),
            StatusCode::CONFLICT => response.json().map(SubmitResponse::Conflict),
            StatusCode::UNPROCESSABLE_ENTITY => response.json().map(SubmitResponse::Invalid),
            _ => Err(response.failure()),
        }
    }

    /// Returns the state of a note: whether it is accepted and on which nodes it is in force.
    ///
    /// # Errors
    ///
    /// Fails if no leader responds within `wait` or the number is unknown.
    pub async fn note(&mut self, number: NoteNumber, wait: Duration) -> Result<NoteState> {
        let path = format!("/notes/{number}");
        self.get(&path, wait).await
    }

    /// Returns the state of the control processes and nodes, from the leader if it responds.
    ///
    /// # Errors
    ///
    /// Fails if no control process responds within `wait`.
    pub async fn status(&mut self, wait: Duration) -> Result<Status> {
        let status: Status = self.get("/status", wait).await?;
        let current = self.addrs[self.current];
        let is_other = |l: &SocketAddr| *l != current && self.addrs.contains(l);
        let Some(leader) = status.leader.filter(is_other) else {
            return Ok(status);
        };
        // Only the leader knows the positions of the others; a follower's status is the fallback.
        let response = self.call_one(leader, &Method::GET, "/status", Bytes::new());
        match response.await {
            Ok(response) if response.status == StatusCode::OK => response.json(),
            _ => Ok(status),
        }
    }

    async fn get<T: DeserializeOwned>(&mut self, path: &str, wait: Duration) -> Result<T> {
        let response = self.call(Method::GET, path, Bytes::new(), wait).await?;
        match response.status {
            StatusCode::OK => response.json(),
            _ => Err(response.failure()),
        }
    }

    /// Calls one address after the other until one gives a final response.
    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<ApiResponse> {
        let start = Instant::now();
        let mut last = Error::unavailable("no control address is known");
        loop {
            for _ in 0..self.addrs.len() {
                let addr = self.addrs[self.current];
                match self.call_one(addr, &method, path, body.clone()).await {
                    Ok(response) if response.status == StatusCode::MISDIRECTED_REQUEST => {
                        last = Error::unavailable("no control process is the leader at present");
                        self.redirect(&response);
                    }
                    Ok(response) if response.status == StatusCode::SERVICE_UNAVAILABLE => {
                        last = response.failure();
                        self.try_next();
                    }
                    Ok(response) => return Ok(response),
                    Err(e) => {
                        last = e;
                        self.try_next();
                    }
                }
            }
            if start.elapsed() >= wait || self.addrs.is_empty() {
                return Err(last);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    fn try_next(&mut self) {
        self.current = (self.current + 1) % self.addrs.len();
    }

    fn redirect(&mut self, response: &ApiResponse) {
        let leader = response.json::<NotLeader>().ok().and_then(|n| n.leader);
        match leader.and_then(|l| self.addrs.iter().position(|a| *a == l)) {
            Some(i) if i != self.current => self.current = i,
            _ => self.try_next(),
        }
    }

    async fn call_one(
        &self,
        addr: SocketAddr,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<ApiResponse> {
        timeout(CALL_TIMEOUT, self.exchange(addr, method, path, body))
            .await
            .map_err(|_| Error::unavailable(format!("{addr} did not respond in time")))?
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<ApiResponse> {
        let stream = TcpStream::connect(addr)
            .await
            .map_err(|e| Error::io(format!("connect to {addr}"), e))?;
        let unavailable = |e: hyper::Error| Error::unavailable(format!("{addr}: {e}"));
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(unavailable)?;
        tokio::spawn(connection);
        let mut token = b"Bearer ".to_vec();
        token.extend_from_slice(self.secret.expose());
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, addr.to_string())
            .header(header::AUTHORIZATION, token)
            .body(Full::new(body))
            .map_err(|_| Error::invalid("the operator secret can't be sent in a header"))?;
        let response = sender.send_request(request).await.map_err(unavailable)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES)
            .collect()
            .await
            .map_err(|e| Error::unavailable(format!("{addr}: {e}")))?
            .to_bytes();
        Ok(ApiResponse { status, body })
    }
}
