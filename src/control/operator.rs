//! The HTTP API for operators.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, info};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, oneshot};
use tokio::time::timeout;

use crate::config::Note;
use crate::control::api::{
    Conflict, Failure, Invalid, NodeStatus, NotLeader, NoteState, ReplicaStatus, Status,
};
use crate::control::driver::{Command, SubmitResult};
use crate::control::nodes::Nodes;
use crate::control::state::{NoteMetadata, State};
use crate::control::view::{Meta, View};
use crate::metrics::Metrics;
use crate::replica;
use crate::time::{Clock, Monotonic, Time};
use crate::units::NoteNumber;
use crate::wire::Secret;

/// Maximum size of a request body in bytes.
const BODY_MAX_BYTES: usize = 2 * 1024 * 1024;

/// Timeout for reading the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for reading the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum lifetime of a connection, so that idle ones don't exhaust [`CONNECTIONS_MAX`].
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum time that a submission waits for the commit; after it the operator must send the note
/// again.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Maximum time for which the response to a committed note waits for its acceptance.
pub const ACCEPT_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum number of open connections.
const CONNECTIONS_MAX: usize = 256;

type ApiResponse = Response<Full<Bytes>>;

/// Handler for requests of operators.
#[derive(Debug)]
pub struct OperatorApi {
    /// The operator secret.
    pub secret: Secret,
    /// The state that the replica thread publishes.
    pub view: Arc<View>,
    /// The nodes that contacted this replica.
    pub nodes: Arc<Nodes>,
    /// The process's clock.
    pub clock: Monotonic,
    /// Commands to the replica thread.
    pub commands: Sender<Command>,
    /// The process's metrics.
    pub metrics: Metrics,
}

fn json<T: Serialize>(status: StatusCode, body: &T) -> ApiResponse {
    let bytes = serde_json::to_vec(body).expect("API messages have text keys only");
    response(status, "application/json", bytes)
}

fn response(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> ApiResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

fn failure(status: StatusCode, message: impl Into<String>) -> ApiResponse {
    let message = message.into();
    json(status, &Failure { message })
}

fn hex(digest: &[u8; 32]) -> String {
    digest.iter().map(|b| format!("{b:02x}")).collect()
}

impl OperatorApi {
    /// Accepts and serves connections; never returns.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
        loop {
            let permit = permits.clone().acquire_owned().await;
            let permit = permit.expect("the semaphore is never closed");
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    // The likely cause is a lack of file descriptors; some may be closed during the
                    // pause.
                    debug!(event = "accept-failed", error:% = e; "accept on the operator listener failed");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            };
            let api = self.clone();
            tokio::spawn(async move {
                let served = timeout(CONNECTION_TIMEOUT, api.serve_connection(stream));
                let _ = served.await;
                drop(permit);
            });
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        let service = service_fn(move |request| {
            let api = self.clone();
            async move { Ok::<_, Infallible>(api.handle(request).await) }
        });
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service)
            .await;
        if let Err(e) = served {
            debug!(event = "operator-connection", error:% = e; "operator connection failed");
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> ApiResponse {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        match (&method, path.as_str()) {
            (&Method::GET, "/live") => return response(StatusCode::OK, "text/plain", "live\n"),
            (&Method::GET, "/ready") => return self.ready(),
            (&Method::GET, "/metrics") => {
                return response(StatusCode::OK, "text/plain", self.metrics.render());
            }
            _ => {}
        }
        if !self.is_authorized(request.headers()) {
            return failure(StatusCode::UNAUTHORIZED, "the operator secret is needed");
        }
        match (&method, path.as_str()) {
            (&Method::GET, "/status") => self.status(),
            (&Method::POST, "/notes") => self.submit(request.into_body()).await,
            (&Method::GET, path) => match path.strip_prefix("/notes/") {
                Some(number) => self.note(number),
                None => failure(StatusCode::NOT_FOUND, "no such path"),
            },
            _ => failure(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn is_authorized(&self, headers: &HeaderMap) -> bool {
        let given = headers.get(header::AUTHORIZATION).map(|v| v.as_bytes());
        let token = given.and_then(|v| v.strip_prefix(b"Bearer "));
        token.is_some_and(|t| self.secret.matches(t.trim_ascii()))
    }

    /// Responds to a readiness probe; ready means that this replica is or knows the leader.
    fn ready(&self) -> ApiResponse {
        match self.view.meta().leader {
            Some(_) => response(StatusCode::OK, "text/plain", "ready\n"),
            None => response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "no leader\n"),
        }
    }

    fn not_leader(&self) -> ApiResponse {
        let leader = self.other_leader();
        json(StatusCode::MISDIRECTED_REQUEST, &NotLeader { leader })
    }

    async fn submit(&self, body: Incoming) -> ApiResponse {
        let text = match read_body(body).await {
            Ok(text) => text,
            Err(response) => return response,
        };
        let note = match Note::parse(&text) {
            Ok(note) => note,
            Err(errors) => return invalid(errors),
        };
        let number = note.number();
        match self.submit_note(note).await {
            SubmitResult::Committed(metadata) => {
                // After the timeout the response has `accepted: false`, and the operator can poll.
                self.wait_accepted(&metadata, ACCEPT_TIMEOUT).await;
                json(StatusCode::OK, &self.note_state(&metadata))
            }
            SubmitResult::Conflict(metadata) => self.conflict(number, metadata),
            SubmitResult::Invalid(errors) => invalid(errors),
            SubmitResult::NotLeader => self.not_leader(),
            SubmitResult::Unavailable(text) => failure(StatusCode::SERVICE_UNAVAILABLE, text),
        }
    }

    /// Submits a note and waits a bounded time for the result.
    pub async fn submit_note(&self, note: Note) -> SubmitResult {
        let number = note.number();
        let (sender, receiver) = oneshot::channel();
        let command = Command::Submit(Box::new(note), sender);
        if self.commands.send(command).is_err() {
            return SubmitResult::Unavailable("the replica has ended".to_owned());
        }
        let result = match timeout(COMMIT_TIMEOUT, receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => {
                let text = "the note is not committed in time; send it again";
                SubmitResult::Unavailable(text.to_owned())
            }
        };
        log_submit_result(number, &result);
        result
    }

    /// Waits up to `limit` for the acceptance of a committed note; returns true if it is accepted.
    pub async fn wait_accepted(&self, metadata: &NoteMetadata, limit: Duration) -> bool {
        let mut changes = self.view.changes();
        let accepted = changes.wait_for(|state| state.accepted() >= metadata.position);
        timeout(limit, accepted)
            .await
            .is_ok_and(|state| state.is_ok())
    }

    /// Returns the state if it is known to be the newest, for a linearizable read.
    ///
    /// Only the leader knows this, and only while its lease is valid and it has applied every
    /// committed entry.
    pub fn newest_state(&self) -> Option<Arc<State>> {
        // The state is read first: an entry committed later wasn't acknowledged before the call.
        let state = self.view.state();
        let meta = self.view.meta();
        let is_newest = meta.leads(self.clock.now()) && state.position() >= meta.committed;
        is_newest.then_some(state)
    }

    /// Returns the leader's operator address, if the leader is another replica.
    pub fn other_leader(&self) -> Option<SocketAddr> {
        let meta = self.view.meta();
        // A leader whose own lease has expired names no leader.
        let leader = meta.leader.filter(|l| *l != meta.id);
        leader.and_then(|_| meta.leader_operator())
    }

    fn conflict(&self, number: NoteNumber, metadata: Option<NoteMetadata>) -> ApiResponse {
        let conflict = Conflict {
            number,
            title: metadata.as_ref().and_then(|m| m.title.clone()),
            digest: metadata.map(|m| hex(&m.digest)),
            next: self.view.state().config().number().next(),
        };
        json(StatusCode::CONFLICT, &conflict)
    }

    fn note_state(&self, metadata: &NoteMetadata) -> NoteState {
        let state = self.view.state();
        let registry = state.registry();
        let registered = registry.members().len();
        let missing = self.nodes.missing(&registry, metadata.position);
        NoteState {
            number: metadata.number,
            title: metadata.title.clone(),
            digest: hex(&metadata.digest),
            position: metadata.position,
            accepted: state.accepted() >= metadata.position,
            registered,
            holding: registered - missing.len(),
            missing,
        }
    }

    fn note(&self, number: &str) -> ApiResponse {
        let Ok(number) = number.parse::<NoteNumber>() else {
            return failure(StatusCode::BAD_REQUEST, "a note number is a whole number");
        };
        if !self.view.meta().leads(self.clock.now()) {
            return self.not_leader();
        }
        match self.view.state().note(number) {
            Some(metadata) => json(StatusCode::OK, &self.note_state(metadata)),
            None => failure(StatusCode::NOT_FOUND, "the note is unknown or long past"),
        }
    }

    fn status(&self) -> ApiResponse {
        let now = self.clock.now();
        let meta = self.view.meta();
        let state = self.view.state();
        let replicas = meta.replicas.members().iter().map(|m| ReplicaStatus {
            id: m.id,
            addr: Some(m.link),
            voter: m.voter,
            position: meta.positions.iter().find(|p| p.0 == m.id).map(|p| p.1),
        });
        let registry = state.registry();
        let nodes = registry.members().iter().map(|m| {
            let contact = self.nodes.contact(now, m.id);
            NodeStatus {
                id: m.id,
                addr: m.addr,
                zone: m.zone.clone(),
                position: contact.map_or_else(Default::default, |c| c.0),
                silent_ms: contact.map(|c| c.1.as_millis() as u64),
            }
        });
        let status = Status {
            replica: meta.id,
            role: role_name(&meta, now).to_owned(),
            term: meta.term,
            leader: meta.leader_operator(),
            committed: meta.committed,
            number: state.config().number(),
            replicas: replicas.collect(),
            nodes: nodes.collect(),
        };
        json(StatusCode::OK, &status)
    }
}

fn log_submit_result(number: NoteNumber, result: &SubmitResult) {
    let (outcome, detail) = match result {
        SubmitResult::Committed(metadata) => {
            ("committed", format!("position {}", metadata.position))
        }
        SubmitResult::Conflict(_) => ("conflict", "another note is the latest".to_owned()),
        SubmitResult::Invalid(errors) => {
            let first = errors.first().map_or("", |e| e.message.as_str());
            ("invalid", first.to_owned())
        }
        SubmitResult::NotLeader => ("not-leader", String::new()),
        SubmitResult::Unavailable(text) => ("unavailable", text.clone()),
    };
    info!(
        event = "note-submitted", number:% = number, outcome, detail:% = detail;
        "release note submitted"
    );
}

/// Reports a leader without a valid lease as a candidate, since another may have been elected.
fn role_name(meta: &Meta, now: Time) -> &'static str {
    match meta.role {
        replica::Role::Leader if meta.leads(now) => "leader",
        replica::Role::Follower if meta.replicas.is_voter(meta.id) => "follower",
        replica::Role::Follower => "learner",
        _ => "candidate",
    }
}

fn invalid(errors: Vec<crate::config::NoteError>) -> ApiResponse {
    let errors = errors.into_iter().map(Into::into).collect();
    json(StatusCode::UNPROCESSABLE_ENTITY, &Invalid { errors })
}

async fn read_body(body: Incoming) -> Result<String, ApiResponse> {
    let limited = Limited::new(body, BODY_MAX_BYTES).collect();
    let collected = match timeout(BODY_TIMEOUT, limited).await {
        Ok(Ok(collected)) => collected,
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            let text = format!("a note may have at most {BODY_MAX_BYTES} bytes");
            return Err(failure(StatusCode::PAYLOAD_TOO_LARGE, text));
        }
        Ok(Err(_)) => return Err(failure(StatusCode::BAD_REQUEST, "the body broke off")),
        Err(_) => return Err(failure(StatusCode::REQUEST_TIMEOUT, "the body is too slow")),
    };
    String::from_utf8(collected.to_bytes().into())
        .map_err(|_| failure(StatusCode::BAD_REQUEST, "a note is UTF-8 text"))
}
