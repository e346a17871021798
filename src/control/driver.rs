//! The event loop of the thread that owns the replica and its journal.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use log::{info, warn};
use rand::rngs::StdRng;
use tokio::sync::oneshot;

use crate::config::{Note, NoteError};
use crate::control::journal::Journal;
use crate::control::nodes::{MembershipTracker, Nodes};
use crate::control::probe::Prober;
use crate::control::state::{NoteMetadata, State};
use crate::control::transport::Transport;
use crate::control::view::View;
use crate::error::{Category, Error, Result};
use crate::fleet::ProbeAck;
use crate::ids::ReplicaId;
use crate::metrics::Metrics;
use crate::replica::{Action, Entry, LogEntry, Member, Message, Replica, Role};
use crate::time::{Clock, Monotonic, Time};
use crate::units::{NoteNumber, Position, Term};
use crate::wire::registry::encode_change;
use crate::wire::replica::{Envelope, encode_entry};

/// Time between two ticks of the replica.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Number of entries after the last snapshot that triggers the next one.
const SNAPSHOT_ENTRIES: u64 = 1_000;

/// Delay before reopening a data directory that failed to open.
const RELOAD_DELAY: Duration = Duration::from_millis(500);

/// Shortest time between two log lines about the refusal of one process that wants to join.
const REFUSAL_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of queued commands that are handled before the replica's actions are executed.
const COMMAND_BATCH_MAX: usize = 64;

/// A command to the replica thread.
#[derive(Debug)]
pub enum Command {
    /// An envelope from another replica arrived.
    Envelope(Envelope),
    /// An operator submits a note.
    Submit(Box<Note>, oneshot::Sender<SubmitResult>),
    /// A node is new, has advanced or is leaving, so an acceptance or registry change may be due.
    NodeAdvanced,
    /// A node responded to a probe.
    Probed(ProbeAck),
    /// The thread should end.
    Stop,
}

/// The result of submitting a note.
#[derive(Clone, Debug)]
pub enum SubmitResult {
    /// The note is committed, by this submission or an earlier one.
    Committed(NoteMetadata),
    /// Another note has the number, or the note is based on an earlier configuration; contains the
    /// note that has the number, if that is kept.
    Conflict(Option<NoteMetadata>),
    /// The note fails validation.
    Invalid(Vec<NoteError>),
    /// This replica isn't the leader.
    NotLeader,
    /// It is unknown whether the note will be committed, or storing it failed.
    Unavailable(String),
}

/// A note that is appended to the log but not committed yet.
struct InFlight {
    digest: [u8; 32],
    note: Box<Note>,
    position: Position,
    responder: oneshot::Sender<SubmitResult>,
}

/// A time in which the journal can't be written.
struct Outage {
    since: Instant,
    failures: u64,
}

/// State that the leader keeps for its term.
struct LeaderState {
    term: Term,
    membership: MembershipTracker,
    /// The last position that this leader proposed as accepted.
    accepted: Position,
}

/// Dependencies of the replica thread.
pub struct Dependencies<J> {
    /// The replica, restored from the journal.
    pub replica: Replica,
    /// The journal.
    pub journal: J,
    /// The state published to readers.
    pub view: Arc<View>,
    /// Sends messages to the other replicas.
    pub transport: Transport,
    /// The nodes that contacted this replica.
    pub nodes: Arc<Nodes>,
    /// Probes the nodes.
    pub prober: Prober,
    /// The process's clock.
    pub clock: Monotonic,
    /// The process's metrics.
    pub metrics: Metrics,
    /// Voters that the group must have before the first note can be submitted.
    pub voters: usize,
    /// Time for which nodes may confirm one another's configuration without the control group.
    pub offline: Duration,
}

/// The replica together with its I/O.
pub struct Driver<J> {
    replica: Replica,
    journal: J,
    state: State,
    view: Arc<View>,
    transport: Transport,
    nodes: Arc<Nodes>,
    prober: Prober,
    clock: Monotonic,
    rng: StdRng,
    metrics: Metrics,
    voters: usize,
    offline: Duration,
    in_flight: Option<InFlight>,
    queue: VecDeque<(Box<Note>, oneshot::Sender<SubmitResult>)>,
    leader_state: Option<LeaderState>,
    /// When to reload the journal; set after a failed write until a reload succeeds.
    reload_at: Option<Instant>,
    /// Set from a failed write of the journal until the next successful one.
    outage: Option<Outage>,
    last_role: (Role, Term, Option<ReplicaId>),
    /// The last refusal of a process that wants to join the group, as logged.
    last_refusal: Option<(ReplicaId, Time)>,
}

/// Restores the applied state from a replica's snapshot.
pub fn restore_state(replica: &Replica) -> Result<State> {
    match replica.snapshot() {
        Some(snapshot) => State::decode(snapshot.data.clone()),
        None => Ok(State::new()),
    }
}

/// Returns a redacted copy of the entry if it contains data that nodes must not receive.
fn redact_for_nodes(entry: &LogEntry) -> Result<Option<LogEntry>> {
    let Entry::Note(bytes) = &entry.entry else {
        return Ok(None);
    };
    let note = Note::decode(bytes)?;
    if note.document().is_none() {
        return Ok(None);
    }
    Ok(Some(LogEntry {
        entry: Entry::Note(note.without_document().encode().into()),
        ..entry.clone()
    }))
}

impl<J: Journal> Driver<J> {
    /// Creates the driver from its dependencies.
    pub fn new(deps: Dependencies<J>) -> Driver<J> {
        let replica = deps.replica;
        let last_role = (replica.role(), replica.term(), replica.leader());
        Driver {
            state: (*deps.view.state()).clone(),
            replica,
            journal: deps.journal,
            view: deps.view,
            transport: deps.transport,
            nodes: deps.nodes,
            prober: deps.prober,
            clock: deps.clock,
            rng: rand::make_rng(),
            metrics: deps.metrics,
            voters: deps.voters,
            offline: deps.offline,
            in_flight: None,
            queue: VecDeque::new(),
            leader_state: None,
            reload_at: None,
            outage: None,
            last_role,
            last_refusal: None,
        }
    }

    /// Runs until [`Command::Stop`] or until all senders are dropped.
    ///
    /// # Errors
    ///
    /// Fails if the stored log is corrupt or inconsistent with the state.
    pub fn run(mut self, commands: &Receiver<Command>) -> Result<()> {
        // A group of one has no peer whose envelope would trigger the bootstrap.
        self.bootstrap();
        let mut next_tick = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match commands.recv_timeout(wait) {
                Ok(Command::Stop) | Err(RecvTimeoutError::Disconnected) => return Ok(()),
                Ok(command) => self.handle(command),
                Err(RecvTimeoutError::Timeout) => {}
            }
            for command in commands.try_iter().take(COMMAND_BATCH_MAX) {
                if matches!(command, Command::Stop) {
                    return Ok(());
                }
                self.handle(command);
            }
            if self.poll_reload()? {
                next_tick = Instant::now() + TICK_INTERVAL;
                continue;
            }
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK_INTERVAL;
                self.replica.tick(self.clock.now(), &mut self.rng);
            }
            self.advance()?;
        }
    }

    fn handle(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Submit(_, responder) if self.reload_at.is_some() => {
                let text = "the data folder is not writable at present".to_owned();
                let _ = responder.send(SubmitResult::Unavailable(text));
            }
            _ if self.reload_at.is_some() => {}
            Command::Envelope(envelope) => self.receive_envelope(now, envelope),
            Command::Submit(note, responder) => self.queue.push_back((note, responder)),
            Command::Probed(ack) => {
                if let Some(leader) = &mut self.leader_state {
                    leader.membership.record_probe(now, ack);
                }
            }
            Command::NodeAdvanced | Command::Stop => {}
        }
    }

    fn receive_envelope(&mut self, now: Time, envelope: Envelope) {
        let from = envelope.from.id;
        self.transport.record_peer(&envelope);
        if envelope.to == Some(self.replica.id()) {
            for message in envelope.messages {
                self.replica.receive(now, from, message);
            }
        }
        if self.replica.replicas().is_empty() {
            self.bootstrap();
        } else if self.replica.replicas().get(from).is_none()
            && self.replica.confirmed_until(now).is_some()
        {
            self.add_learner(now, envelope.from);
        }
    }

    /// Adds a process that isn't a member as a learner.
    fn add_learner(&mut self, now: Time, joiner: Member) {
        let id = joiner.id;
        match self.replica.join(now, joiner) {
            Ok(()) => {
                info!(event = "replica-joining", replica:% = id; "replica joining as a learner");
            }
            Err(e) => {
                let is_logged =
                    |(last, at): (ReplicaId, Time)| last == id && now.since(at) < REFUSAL_INTERVAL;
                if !self.last_refusal.is_some_and(is_logged) {
                    self.last_refusal = Some((id, now));
                    warn!(event = "replica-refused", replica:% = id, error:% = e; "replica can't join now");
                }
            }
        }
    }

    /// Passes the initial members to the replica; has no effect once the log contains a group.
    fn bootstrap(&mut self) {
        if let Some(members) = self.transport.initial_members() {
            self.replica.bootstrap(members);
        }
    }

    /// Executes the replica's actions, then the leader's duties that follow from the new state.
    fn advance(&mut self) -> Result<()> {
        self.run_actions()?;
        self.observe_role();
        if self.reload_at.is_some() {
            return Ok(());
        }
        self.run_leader();
        self.run_actions()?;
        self.save_snapshot()
    }

    fn run_actions(&mut self) -> Result<()> {
        self.view.publish_meta(&self.replica, self.clock.now());
        let actions = self.replica.actions();
        let mut messages: Vec<(ReplicaId, Message)> = Vec::new();
        let mut applied = Vec::new();
        for action in actions {
            match action {
                Action::Persist(persist) => {
                    if let Err(e) = self.journal.write(&persist) {
                        self.publish_applied(applied);
                        return self.recover(&e);
                    }
                    self.end_outage();
                }
                Action::Send { to, message } => messages.push((to, message)),
                Action::Apply(entry) => applied.extend(self.apply(&entry)?),
                Action::Install(snapshot) => {
                    applied.clear();
                    self.install(snapshot.position, snapshot.data)?;
                }
            }
        }
        self.transport.send(&self.replica, messages);
        self.publish_applied(applied);
        Ok(())
    }

    fn publish_applied(&mut self, entries: Vec<Bytes>) {
        if entries.is_empty() {
            return;
        }
        self.view.publish_state(self.state.clone(), entries);
        self.metrics
            .gauge("control.position", self.state.position().0);
        self.complete_in_flight();
    }

    /// Applies an entry and returns its encoding; skips one that was applied before a recovery.
    fn apply(&mut self, entry: &LogEntry) -> Result<Option<Bytes>> {
        if entry.position <= self.state.position() {
            return Ok(None);
        }
        self.state.apply(entry)?;
        let public = redact_for_nodes(entry)?;
        Ok(Some(encode_entry(public.as_ref().unwrap_or(entry)).into()))
    }

    fn install(&mut self, position: Position, data: Bytes) -> Result<()> {
        if position <= self.state.position() {
            return Ok(());
        }
        self.state = State::decode(data)?;
        self.view.publish_install(self.state.clone());
        info!(event = "snapshot-installed", position:% = position; "installed a snapshot from the leader");
        Ok(())
    }

    /// Restores the replica from the journal after a failed write, as after a crash.
    ///
    /// The applied state is kept, so that reads continue while the disk is full.
    fn recover(&mut self, error: &Error) -> Result<()> {
        self.record_failure(error);
        let text = format!("the note could not be stored: {error}");
        let in_flight = self.in_flight.take().map(|i| i.responder);
        let queued = self.queue.drain(..).map(|(_, responder)| responder);
        for responder in in_flight.into_iter().chain(queued) {
            let _ = responder.send(SubmitResult::Unavailable(text.clone()));
        }
        self.reload_at = Some(Instant::now());
        self.poll_reload().map(|_| ())
    }

    /// Counts a failed write; only the first one of an outage is logged.
    fn record_failure(&mut self, error: &Error) {
        self.metrics.count("control.write_failed");
        self.metrics.gauge("control.outage", 1);
        if let Some(outage) = &mut self.outage {
            outage.failures += 1;
            return;
        }
        self.outage = Some(Outage {
            since: Instant::now(),
            failures: 1,
        });
        let (term, position) = (self.replica.term(), self.replica.last_position());
        let leads = self.replica.role() == Role::Leader;
        warn!(
            event = "write-failed", error:% = error, leads, term:% = term, position:% = position;
            "journal write failed; restoring the replica from its journal"
        );
    }

    /// Logs the end of an outage after a successful write.
    fn end_outage(&mut self) {
        let Some(outage) = self.outage.take() else {
            return;
        };
        self.metrics.gauge("control.outage", 0);
        info!(
            event = "write-restored", outage_ms = outage.since.elapsed().as_millis() as u64,
            failures = outage.failures;
            "the journal can be written again"
        );
    }

    /// Reloads the journal if that is due after a failed write; returns true while a reload is
    /// pending.
    fn poll_reload(&mut self) -> Result<bool> {
        match self.reload_at {
            None => return Ok(false),
            Some(retry) if Instant::now() < retry => return Ok(true),
            Some(_) => {}
        }
        match self.journal.load() {
            Ok(stored) => {
                let snapshot = stored.snapshot.clone();
                self.replica = Replica::restore(self.clock.now(), stored)?;
                self.replica.set_voter_count(self.voters);
                // The failed write may have been that of a received snapshot.
                if let Some(snapshot) = snapshot {
                    self.install(snapshot.position, snapshot.data)?;
                }
                self.view.publish_meta(&self.replica, self.clock.now());
                self.reload_at = None;
                self.bootstrap();
                Ok(false)
            }
            Err(e) if e.category() == Category::Corrupt => Err(e),
            Err(e) => {
                warn!(event = "load-failed", error:% = e; "loading the journal failed; will retry");
                self.reload_at = Some(Instant::now() + RELOAD_DELAY);
                Ok(true)
            }
        }
    }

    fn observe_role(&mut self) {
        let replica = &self.replica;
        let current = (replica.role(), replica.term(), replica.leader());
        if current == self.last_role {
            return;
        }
        let (role, term, leader) = current;
        if role == Role::Leader && self.leader_state.as_ref().is_none_or(|l| l.term != term) {
            info!(event = "leader-elected", term:% = term; "this replica became the leader");
            self.metrics.count("control.elected");
            self.metrics.gauge("control.leads", 1);
            self.nodes.reset_probes();
            self.leader_state = Some(LeaderState {
                term,
                membership: MembershipTracker::new(self.offline),
                accepted: Position(0),
            });
        } else if role != Role::Leader && self.leader_state.take().is_some() {
            info!(event = "leadership-lost", term:% = term; "this replica is no longer the leader");
            self.metrics.gauge("control.leads", 0);
            self.fail_in_flight();
        } else if leader != self.last_role.2
            && let Some(leader) = leader
        {
            info!(event = "leader-known", term:% = term, leader:% = leader; "following a new leader");
        }
        self.last_role = current;
    }

    fn fail_in_flight(&mut self) {
        if let Some(in_flight) = self.in_flight.take() {
            let text = "leadership was lost before the note was committed; send it again";
            let _ = in_flight
                .responder
                .send(SubmitResult::Unavailable(text.to_owned()));
        }
    }

    /// Performs the leader's duties: notes, acceptance and the node registry.
    fn run_leader(&mut self) {
        let now = self.clock.now();
        if self.replica.confirmed_until(now).is_none() {
            for (_, responder) in self.queue.drain(..) {
                let _ = responder.send(SubmitResult::NotLeader);
            }
            return;
        }
        while self.in_flight.is_none()
            && let Some((note, responder)) = self.queue.pop_front()
        {
            self.submit(now, note, responder);
        }
        if let Some(mut leader) = self.leader_state.take() {
            leader.membership.apply_registries(now, &self.state);
            let registry = self.state.registry();
            for member in self.nodes.due_probes(now, &registry) {
                self.prober.probe(member);
            }
            self.propose_accepted(now, &mut leader);
            self.propose_registry(now, &mut leader.membership);
            self.leader_state = Some(leader);
        }
    }

    fn submit(&mut self, now: Time, note: Box<Note>, responder: oneshot::Sender<SubmitResult>) {
        let digest = note.digest();
        let result = if note.number() <= self.state.config().number() {
            match self.state.note(note.number()) {
                Some(metadata) if metadata.digest == digest => {
                    SubmitResult::Committed(metadata.clone())
                }
                metadata => SubmitResult::Conflict(metadata.cloned()),
            }
        } else if note
            .base()
            .is_some_and(|base| base != self.state.config().number())
        {
            SubmitResult::Conflict(None)
        } else if let Err(errors) = self.state.config().clone().apply(&note) {
            SubmitResult::Invalid(errors)
        } else if self.is_short_of_voters() {
            SubmitResult::Unavailable("the group has not grown to its size yet".to_owned())
        } else {
            let entry = Entry::Note(note.encode().into());
            match self.replica.propose(now, entry) {
                Ok(position) => {
                    self.in_flight = Some(InFlight {
                        digest,
                        note,
                        position,
                        responder,
                    });
                    return;
                }
                Err(_) => SubmitResult::NotLeader,
            }
        };
        // The operator may have disconnected in the meantime.
        let _ = responder.send(result);
    }

    /// Returns true while the group is too small to survive the disk losses that it is sized for.
    ///
    /// This blocks only the first note; a group that has too few voters later is being repaired.
    fn is_short_of_voters(&self) -> bool {
        let is_first = self.state.config().number() == NoteNumber(0);
        is_first && self.replica.replicas().voters().count() < self.voters
    }

    fn complete_in_flight(&mut self) {
        let position = self.state.position();
        let Some(in_flight) = self.in_flight.take_if(|i| i.position <= position) else {
            return;
        };
        let number = in_flight.note.number();
        let metadata = self.state.note(number).cloned();
        let result = match metadata.filter(|m| m.digest == in_flight.digest) {
            Some(metadata) => {
                info!(event = "note-committed", number:% = number, position:% = metadata.position; "release note committed");
                SubmitResult::Committed(metadata)
            }
            None => SubmitResult::Unavailable("another leader took over; send it again".to_owned()),
        };
        let _ = in_flight.responder.send(result);
    }

    fn propose_accepted(&mut self, now: Time, leader: &mut LeaderState) {
        let acceptable = leader.membership.acceptable(now, &self.nodes, &self.state);
        let Some(position) = acceptable.filter(|p| *p > leader.accepted) else {
            return;
        };
        if self.replica.propose(now, Entry::Accepted(position)).is_ok() {
            leader.accepted = position;
            info!(event = "accepted", position:% = position; "no node that lacks the position can be fresh");
        }
    }

    fn propose_registry(&mut self, now: Time, membership: &mut MembershipTracker) {
        let registry = self.state.registry();
        let Some(change) =
            membership.due_change(now, self.state.position(), &registry, &self.nodes)
        else {
            return;
        };
        let entry = Entry::Nodes(encode_change(&change).into());
        if let Ok(position) = self.replica.propose(now, entry) {
            membership.record_proposed(position);
            let (joined, left) = (change.joined.len(), change.left.len());
            let ended = membership.count_ended(&change.left);
            let leaving = change.leaving.len();
            let (demoted, reinstated) = (change.demoted.len(), change.reinstated.len());
            info!(
                event = "registry-changed", position:% = position, joined, left, ended, demoted, reinstated, leaving;
                "node registry changed"
            );
        }
    }

    fn save_snapshot(&mut self) -> Result<()> {
        let saved = self.replica.snapshot().map_or(0, |s| s.position.0);
        let position = self.state.position();
        if position.0 < saved + SNAPSHOT_ENTRIES {
            return Ok(());
        }
        self.replica.compact(position, self.state.encode());
        self.run_actions()
    }
}
