//! HTTP calls to the control processes.

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

/// Time for one call, connect included.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause between two rounds over all addresses.
const ROUND_DELAY: Duration = Duration::from_millis(100);

/// Largest answer in bytes.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// The answer to a submitted note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitResponse {
    /// The note is in the log.
    Committed(NoteState),
    /// Another note has its number.
    Conflict(Conflict),
    /// The note breaks rules.
    Invalid(Invalid),
}

/// A client for the operator's interface; tries every address and follows the leader.
#[derive(Debug)]
pub struct Client {
    addrs: Vec<SocketAddr>,
    secret: Secret,
    first: usize,
}

struct Reply {
    status: StatusCode,
    body: Bytes,
}

impl Reply {
    fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body)
            .map_err(|e| Error::invalid(format!("answer with status {}: {e}", self.status)))
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
            first: 0,
        }
    }

    /// Submits a note; resending it is safe, since the same number and content is taken once.
    ///
    /// # Errors
    ///
    /// Fails if no leader took it within `wait`.
    pub async fn submit(&mut self, text: &str, wait: Duration) -> Result<SubmitResponse> {
        let body = Bytes::from(text.to_owned());
        let reply = self.call(Method::POST, "/notes", body, wait).await?;
        match reply.status {
            StatusCode::OK => reply.json().map(SubmitResponse::Committed),
            StatusCode::CONFLICT => reply.json().map(SubmitResponse::Conflict),
            StatusCode::UNPROCESSABLE_ENTITY => reply.json().map(SubmitResponse::Invalid),
            _ => Err(reply.failure()),
        }
    }

    /// Returns how far a note has come.
    ///
    /// # Errors
    ///
    /// Fails if no leader answers within `wait` or the number is unknown.
    pub async fn note(&mut self, number: NoteNumber, wait: Duration) -> Result<NoteState> {
        let path = format!("/notes/{number}");
        self.get(&path, wait).await
    }

    /// Returns the state of the control processes and nodes, as the leader sees it if it answers.
    ///
    /// # Errors
    ///
    /// Fails if no control process answers within `wait`.
    pub async fn status(&mut self, wait: Duration) -> Result<Status> {
        let status: Status = self.get("/status", wait).await?;
        let asked = self.addrs[self.first];
        let is_other = |l: &SocketAddr| *l != asked && self.addrs.contains(l);
        let Some(leader) = status.leader.filter(is_other) else {
            return Ok(status);
        };
        // Only the leader knows what others hold; a follower's view is better than none.
        let reply = self.call_one(leader, &Method::GET, "/status", Bytes::new());
        match reply.await {
            Ok(reply) if reply.status == StatusCode::OK => reply.json(),
            _ => Ok(status),
        }
    }

    async fn get<T: DeserializeOwned>(&mut self, path: &str, wait: Duration) -> Result<T> {
        let reply = self.call(Method::GET, path, Bytes::new(), wait).await?;
        match reply.status {
            StatusCode::OK => reply.json(),
            _ => Err(reply.failure()),
        }
    }

    /// Calls one address after the other until one gives a final answer.
    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<Reply> {
        let start = Instant::now();
        let mut last = Error::unavailable("no control address is known");
        loop {
            for _ in 0..self.addrs.len() {
                let addr = self.addrs[self.first];
                match self.call_one(addr, &method, path, body.clone()).await {
                    Ok(reply) if reply.status == StatusCode::MISDIRECTED_REQUEST => {
                        last = Error::unavailable("no control process leads at present");
                        self.follow(&reply);
                    }
                    Ok(reply) if reply.status == StatusCode::SERVICE_UNAVAILABLE => {
                        last = reply.failure();
                        self.advance();
                    }
                    Ok(reply) => return Ok(reply),
                    Err(e) => {
                        last = e;
                        self.advance();
                    }
                }
            }
            if start.elapsed() >= wait || self.addrs.is_empty() {
                return Err(last);
            }
            tokio::time::sleep(ROUND_DELAY).await;
        }
    }

    fn advance(&mut self) {
        self.first = (self.first + 1) % self.addrs.len();
    }

    fn follow(&mut self, reply: &Reply) {
        let leader = reply.json::<NotLeader>().ok().and_then(|n| n.leader);
        match leader.and_then(|l| self.addrs.iter().position(|a| *a == l)) {
            Some(i) if i != self.first => self.first = i,
            _ => self.advance(),
        }
    }

    async fn call_one(
        &self,
        addr: SocketAddr,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<Reply> {
        timeout(CALL_TIMEOUT, self.exchange(addr, method, path, body))
            .await
            .map_err(|_| Error::unavailable(format!("{addr} did not answer in time")))?
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<Reply> {
        let stream = TcpStream::connect(addr)
            .await
            .map_err(|e| Error::io(format!("connect to {addr}"), e))?;
        let lost = |e: hyper::Error| Error::unavailable(format!("{addr}: {e}"));
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(lost)?;
        tokio::spawn(connection);
        let mut token = b"Bearer ".to_vec();
        token.extend_from_slice(self.secret.expose());
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, addr.to_string())
            .header(header::AUTHORIZATION, token)
            .body(Full::new(body))
            .map_err(|_| Error::invalid("the operator secret can't stand in a header"))?;
        let response = sender.send_request(request).await.map_err(lost)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_MAX_BYTES)
            .collect()
            .await
            .map_err(|e| Error::unavailable(format!("{addr}: {e}")))?
            .to_bytes();
        Ok(Reply { status, body })
    }
}
