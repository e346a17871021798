//! The thread that owns the replica and its journal.

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
use crate::control::nodes::{Census, Nodes};
use crate::control::probe::Visitor;
use crate::control::state::{NoteHead, State};
use crate::control::transport::Group;
use crate::control::view::View;
use crate::error::{Category, Error, Result};
use crate::fleet::Sighting;
use crate::ids::ReplicaId;
use crate::metrics::Metrics;
use crate::replica::{Action, Entry, Logged, Message, Replica, Role};
use crate::time::{Clock, Monotonic, Time};
use crate::units::{NoteNumber, Position, Term};
use crate::wire::registry::encode_change;
use crate::wire::replica::{Envelope, encode_entry};

/// Longest time between two ticks of the replica.
const TICK: Duration = Duration::from_millis(10);

/// Entries after the last snapshot that lead to the next.
const SNAPSHOT_ENTRIES: u64 = 1_000;

/// Pause before a data folder that can't be opened is tried again.
const RELOAD_DELAY: Duration = Duration::from_millis(500);

/// Commands that are handled before the replica's actions are carried out.
const BATCH: usize = 64;

/// Something for the replica's thread to do.
#[derive(Debug)]
pub enum Command {
    /// An envelope came from another replica.
    Envelope(Envelope),
    /// An operator submits a note.
    Submit(Box<Note>, oneshot::Sender<Submitted>),
    /// A node has come forward, which may complete an acceptance.
    NodeMoved,
    /// A node answered a visit.
    Sighted(Sighting),
    /// End the thread.
    Stop,
}

/// What became of a submitted note.
#[derive(Clone, Debug)]
pub enum Submitted {
    /// It is committed, now or earlier.
    Committed(NoteHead),
    /// Another note has the number; it is absent if that was long ago.
    Conflict(Option<NoteHead>),
    /// The note breaks rules.
    Invalid(Vec<NoteError>),
    /// This replica doesn't lead.
    NotLeader,
    /// Whether the note will be committed is unknown, or the disk refused it.
    Unavailable(String),
}

/// A note that is in the log and not committed yet.
struct InFlight {
    digest: [u8; 32],
    note: Box<Note>,
    position: Position,
    reply: oneshot::Sender<Submitted>,
}

/// What the leader keeps in its term.
struct Leading {
    term: Term,
    census: Census,
    /// The last position proposed as accepted.
    accepted: Position,
}

/// What the replica's thread works with.
pub struct Parts<J> {
    /// The replica, restored from the journal.
    pub replica: Replica,
    /// The journal.
    pub journal: J,
    /// Where readers look.
    pub view: Arc<View>,
    /// The way to the other replicas.
    pub group: Group,
    /// What is known about the nodes.
    pub nodes: Arc<Nodes>,
    /// The way to the nodes.
    pub visitor: Visitor,
    /// The process's clock.
    pub clock: Monotonic,
    /// The process's metrics.
    pub metrics: Metrics,
    /// Voters that the group must have before the first note is taken.
    pub voters: usize,
}

/// The replica with everything that its thread needs.
pub struct Driver<J> {
    replica: Replica,
    journal: J,
    state: State,
    view: Arc<View>,
    group: Group,
    nodes: Arc<Nodes>,
    visitor: Visitor,
    clock: Monotonic,
    rng: StdRng,
    metrics: Metrics,
    voters: usize,
    in_flight: Option<InFlight>,
    queue: VecDeque<(Box<Note>, oneshot::Sender<Submitted>)>,
    leading: Option<Leading>,
    /// When to try the journal again, while it can't be read after a failed write.
    closed: Option<Instant>,
    seen: (Role, Term, Option<ReplicaId>),
}

/// Restores the applied state from a replica's snapshot.
pub fn restore_state(replica: &Replica) -> Result<State> {
    match replica.snapshot() {
        Some(snapshot) => State::decode(snapshot.data.clone()),
        None => Ok(State::new()),
    }
}

/// Returns the entry as nodes get it if it holds something that they must not get.
fn for_nodes(entry: &Logged) -> Result<Option<Logged>> {
    let Entry::Note(bytes) = &entry.entry else {
        return Ok(None);
    };
    let note = Note::decode(bytes)?;
    if note.document().is_none() {
        return Ok(None);
    }
    Ok(Some(Logged {
        entry: Entry::Note(note.without_document().encode().into()),
        ..entry.clone()
    }))
}

impl<J: Journal> Driver<J> {
    /// Puts the parts together.
    pub fn new(parts: Parts<J>) -> Driver<J> {
        let replica = parts.replica;
        let seen = (replica.role(), replica.term(), replica.leader());
        Driver {
            state: (*parts.view.state()).clone(),
            replica,
            journal: parts.journal,
            view: parts.view,
            group: parts.group,
            nodes: parts.nodes,
            visitor: parts.visitor,
            clock: parts.clock,
            rng: rand::make_rng(),
            metrics: parts.metrics,
            voters: parts.voters,
            in_flight: None,
            queue: VecDeque::new(),
            leading: None,
            closed: None,
            seen,
        }
    }

    /// Runs until [`Command::Stop`] or until all senders are gone.
    ///
    /// # Errors
    ///
    /// Fails if the stored log is damaged or contradicts the state.
    pub fn run(mut self, commands: &Receiver<Command>) -> Result<()> {
        // A group of one has nobody to greet.
        self.found();
        let mut next_tick = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match commands.recv_timeout(wait) {
                Ok(Command::Stop) | Err(RecvTimeoutError::Disconnected) => return Ok(()),
                Ok(command) => self.handle(command),
                Err(RecvTimeoutError::Timeout) => {}
            }
            for command in commands.try_iter().take(BATCH) {
                if matches!(command, Command::Stop) {
                    return Ok(());
                }
                self.handle(command);
            }
            if self.is_closed()? {
                next_tick = Instant::now() + TICK;
                continue;
            }
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK;
                self.replica.tick(self.clock.now(), &mut self.rng);
            }
            self.settle()?;
        }
    }

    fn handle(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Submit(_, reply) if self.closed.is_some() => {
                let text = "the data folder is not writable at present".to_owned();
                let _ = reply.send(Submitted::Unavailable(text));
            }
            _ if self.closed.is_some() => {}
            Command::Envelope(envelope) => self.take_in(now, envelope),
            Command::Submit(note, reply) => self.queue.push_back((note, reply)),
            Command::Sighted(sighting) => {
                if let Some(leading) = &mut self.leading {
                    leading.census.sight(now, sighting);
                }
            }
            Command::NodeMoved | Command::Stop => {}
        }
    }

    fn take_in(&mut self, now: Time, envelope: Envelope) {
        let from = envelope.from.id;
        self.group.greeted(&envelope);
        if envelope.to == Some(self.replica.id()) {
            for message in envelope.messages {
                self.replica.receive(now, from, message);
            }
        }
        if self.replica.replicas().is_empty() {
            self.found();
        } else if self.replica.replicas().get(from).is_none()
            && self.replica.vouch_end(now).is_some()
            && self.replica.join(now, envelope.from).is_ok()
        {
            info!(event = "replica-joins", replica:% = from; "replica joins as a learner");
        }
    }

    fn found(&mut self) {
        if let Some(founders) = self.group.founders() {
            self.replica.found(founders);
        }
    }

    /// Carries out what the replica asks for, and what follows from the new state.
    fn settle(&mut self) -> Result<()> {
        self.carry_out()?;
        self.watch_role();
        if self.closed.is_some() {
            return Ok(());
        }
        self.lead();
        self.carry_out()?;
        self.save_snapshot()
    }

    fn carry_out(&mut self) -> Result<()> {
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
                }
                Action::Send { to, message } => messages.push((to, message)),
                Action::Apply(entry) => applied.extend(self.apply(&entry)?),
                Action::Install(snapshot) => {
                    applied.clear();
                    self.install(snapshot.position, snapshot.data)?;
                }
            }
        }
        self.group.send(&self.replica, messages);
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
        self.answer_in_flight();
    }

    /// Applies an entry unless that was done before a recovery; returns its encoding.
    fn apply(&mut self, entry: &Logged) -> Result<Option<Bytes>> {
        if entry.position <= self.state.position() {
            return Ok(None);
        }
        self.state.apply(entry)?;
        let public = for_nodes(entry)?;
        Ok(Some(encode_entry(public.as_ref().unwrap_or(entry)).into()))
    }

    fn install(&mut self, position: Position, data: Bytes) -> Result<()> {
        if position <= self.state.position() {
            return Ok(());
        }
        self.state = State::decode(data)?;
        self.view.publish_install(self.state.clone());
        info!(event = "snapshot-installed", position:% = position; "installed the leader's snapshot");
        Ok(())
    }

    /// Starts the replica anew from the journal after a failed write, as after a crash.
    ///
    /// What was applied stays, so that reads go on while the disk is full.
    fn recover(&mut self, error: &Error) -> Result<()> {
        warn!(event = "write-failed", error:% = error; "the replica starts anew from its log");
        self.metrics.count("control.write_failed");
        if let Some(in_flight) = self.in_flight.take() {
            let text = format!("the note could not be stored: {error}");
            let _ = in_flight.reply.send(Submitted::Unavailable(text));
        }
        self.closed = Some(Instant::now());
        self.is_closed().map(|_| ())
    }

    /// Returns true while the journal can't be read again after a failed write.
    fn is_closed(&mut self) -> Result<bool> {
        match self.closed {
            None => return Ok(false),
            Some(retry) if Instant::now() < retry => return Ok(true),
            Some(_) => {}
        }
        match self.journal.load() {
            Ok(stored) => {
                self.replica = Replica::restore(self.clock.now(), stored)?;
                self.replica.set_voters_wanted(self.voters);
                self.view.publish_meta(&self.replica, self.clock.now());
                self.closed = None;
                Ok(false)
            }
            Err(e) if e.category() == Category::Corrupt => Err(e),
            Err(e) => {
                warn!(event = "load-failed", error:% = e; "tries again");
                self.closed = Some(Instant::now() + RELOAD_DELAY);
                Ok(true)
            }
        }
    }

    fn watch_role(&mut self) {
        let replica = &self.replica;
        let seen = (replica.role(), replica.term(), replica.leader());
        if seen == self.seen {
            return;
        }
        let (role, term, leader) = seen;
        if role == Role::Leader && self.leading.as_ref().is_none_or(|l| l.term != term) {
            info!(event = "leader-elected", term:% = term; "this replica leads");
            self.metrics.count("control.elected");
            self.metrics.gauge("control.leads", 1);
            self.nodes.forget_visits();
            self.leading = Some(Leading {
                term,
                census: Census::default(),
                accepted: Position(0),
            });
        } else if role != Role::Leader && self.leading.take().is_some() {
            info!(event = "leader-left", term:% = term; "this replica leads no longer");
            self.metrics.gauge("control.leads", 0);
            self.drop_in_flight();
        } else if leader != self.seen.2
            && let Some(leader) = leader
        {
            info!(event = "leader-known", term:% = term, leader:% = leader; "follows a leader");
        }
        self.seen = seen;
    }

    fn drop_in_flight(&mut self) {
        if let Some(in_flight) = self.in_flight.take() {
            let text = "leadership was lost before the note was committed; send it again";
            let _ = in_flight
                .reply
                .send(Submitted::Unavailable(text.to_owned()));
        }
    }

    /// Does the leader's work: notes, acceptance and the registry.
    fn lead(&mut self) {
        let now = self.clock.now();
        if self.replica.vouch_end(now).is_none() {
            for (_, reply) in self.queue.drain(..) {
                let _ = reply.send(Submitted::NotLeader);
            }
            return;
        }
        while self.in_flight.is_none()
            && let Some((note, reply)) = self.queue.pop_front()
        {
            self.submit(now, note, reply);
        }
        if let Some(mut leading) = self.leading.take() {
            leading.census.learn(now, &self.state);
            let registry = self.state.registry();
            for member in self.nodes.due_visits(now, &registry) {
                self.visitor.visit(member);
            }
            self.accept(now, &mut leading);
            self.register(now, &mut leading.census);
            self.leading = Some(leading);
        }
    }

    fn submit(&mut self, now: Time, note: Box<Note>, reply: oneshot::Sender<Submitted>) {
        let digest = note.digest();
        let answer = if note.number() <= self.state.config().number() {
            match self.state.note(note.number()) {
                Some(head) if head.digest == digest => Submitted::Committed(head.clone()),
                head => Submitted::Conflict(head.cloned()),
            }
        } else if note
            .base()
            .is_some_and(|base| base != self.state.config().number())
        {
            Submitted::Conflict(None)
        } else if let Err(errors) = self.state.config().clone().apply(&note) {
            Submitted::Invalid(errors)
        } else if self.is_too_small() {
            Submitted::Unavailable("the group has not grown to its size yet".to_owned())
        } else {
            let entry = Entry::Note(note.encode().into());
            match self.replica.propose(now, entry) {
                Ok(position) => {
                    self.in_flight = Some(InFlight {
                        digest,
                        note,
                        position,
                        reply,
                    });
                    return;
                }
                Err(_) => Submitted::NotLeader,
            }
        };
        // The operator may have gone away meanwhile.
        let _ = reply.send(answer);
    }

    /// Returns true while a note could be lost with as many disks as the grown group may lose.
    ///
    /// Only the first note waits for this: a group that is short later is being repaired.
    fn is_too_small(&self) -> bool {
        let is_first = self.state.config().number() == NoteNumber(0);
        is_first && self.replica.replicas().voters().count() < self.voters
    }

    fn answer_in_flight(&mut self) {
        let position = self.state.position();
        let Some(in_flight) = self.in_flight.take_if(|i| i.position <= position) else {
            return;
        };
        let number = in_flight.note.number();
        let head = self.state.note(number).cloned();
        let answer = match head.filter(|h| h.digest == in_flight.digest) {
            Some(head) => {
                info!(event = "note-committed", number:% = number, position:% = head.position; "release note committed");
                Submitted::Committed(head)
            }
            None => Submitted::Unavailable("another leader took over; send it again".to_owned()),
        };
        let _ = in_flight.reply.send(answer);
    }

    fn accept(&mut self, now: Time, leading: &mut Leading) {
        let acceptable = leading.census.acceptable(now, &self.nodes, &self.state);
        let Some(position) = acceptable.filter(|p| *p > leading.accepted) else {
            return;
        };
        if self.replica.propose(now, Entry::Accepted(position)).is_ok() {
            leading.accepted = position;
            info!(event = "accepted", position:% = position; "held by a majority of the nodes");
        }
    }

    fn register(&mut self, now: Time, census: &mut Census) {
        let registry = self.state.registry();
        let Some(change) = census.due_change(now, self.state.position(), &registry, &self.nodes)
        else {
            return;
        };
        let entry = Entry::Nodes(encode_change(&change).into());
        if let Ok(position) = self.replica.propose(now, entry) {
            census.proposed(position);
            let (joined, left) = (change.joined.len(), change.left.len());
            let (relieved, reinstated) = (change.relieved.len(), change.reinstated.len());
            info!(
                event = "registry-changed", position:% = position, joined, left, relieved, reinstated;
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
        self.carry_out()
    }
}
