//! The thread that owns the replica and its journal.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use log::{info, warn};
use rand::rngs::StdRng;
use tokio::sync::oneshot;

use crate::config::{Note, NoteError};
use crate::control::group::Group;
use crate::control::journal::Journal;
use crate::control::nodes::{CHANGE_INTERVAL, Nodes};
use crate::control::state::{NoteHead, State};
use crate::control::view::View;
use crate::error::{Error, Result};
use crate::ids::ReplicaId;
use crate::metrics::Metrics;
use crate::replica::{Action, Entry, Logged, Message, Replica, Role};
use crate::time::{Clock, Monotonic, Time};
use crate::units::{Position, Term};
use crate::wire::replica::{Envelope, encode_entry};

/// Longest time between two ticks of the replica.
const TICK: Duration = Duration::from_millis(10);

/// Entries after the last snapshot that lead to the next.
const SNAPSHOT_ENTRIES: u64 = 1_000;

/// Commands that are handled before the replica's actions are carried out.
const BATCH: usize = 64;

/// Something for the replica's thread to do.
#[derive(Debug)]
pub enum Command {
    /// An envelope came from another replica.
    Envelope(Envelope),
    /// An operator submits a note.
    Submit(Note, oneshot::Sender<Submitted>),
    /// A node has come forward, which may complete an acceptance.
    NodeMoved,
    /// End the thread.
    Stop,
}

/// What became of a submitted note.
#[derive(Clone, Debug)]
pub enum Submitted {
    /// It is committed, now or earlier.
    Taken(NoteHead),
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
    note: Note,
    position: Position,
    reply: oneshot::Sender<Submitted>,
}

/// The replica with everything that its thread needs.
pub struct Core<J> {
    replica: Replica,
    journal: J,
    state: State,
    view: Arc<View>,
    group: Group,
    nodes: Arc<Nodes>,
    clock: Monotonic,
    rng: StdRng,
    metrics: Metrics,
    in_flight: Option<InFlight>,
    queue: Vec<(Note, oneshot::Sender<Submitted>)>,
    /// The term that this replica leads, and since when.
    leading: Option<(Term, Time)>,
    /// The last position proposed as accepted in that term.
    proposed: Position,
    registry_changed: Option<Time>,
    seen: (Role, Term, Option<ReplicaId>),
}

/// Restores the applied state from a replica's snapshot.
pub fn restore_state(replica: &Replica) -> Result<State> {
    match replica.snapshot() {
        Some(snapshot) => State::decode(snapshot.data.clone()),
        None => Ok(State::new()),
    }
}

impl<J: Journal> Core<J> {
    /// Puts the parts together.
    pub fn new(
        replica: Replica,
        journal: J,
        view: Arc<View>,
        group: Group,
        nodes: Arc<Nodes>,
        clock: Monotonic,
        metrics: Metrics,
    ) -> Core<J> {
        let seen = (replica.role(), replica.term(), replica.leader());
        Core {
            state: (*view.state()).clone(),
            replica,
            journal,
            view,
            group,
            nodes,
            clock,
            rng: rand::make_rng(),
            metrics,
            in_flight: None,
            queue: Vec::new(),
            leading: None,
            proposed: Position(0),
            registry_changed: None,
            seen,
        }
    }

    /// Runs until [`Command::Stop`] or until all senders are gone.
    ///
    /// # Errors
    ///
    /// Fails if the stored log is damaged or contradicts the state.
    pub fn run(mut self, commands: &Receiver<Command>) -> Result<()> {
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
            Command::Envelope(envelope) => self.take_in(now, envelope),
            Command::Submit(note, reply) => self.queue.push((note, reply)),
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
            if let Some(founders) = self.group.founders() {
                self.replica.found(founders);
            }
        } else if self.replica.replicas().get(from).is_none()
            && self.replica.vouch_end(now).is_some()
            && self.replica.join(now, envelope.from).is_ok()
        {
            info!(event = "replica-joins", replica:% = from; "replica joins as a learner");
        }
    }

    /// Carries out what the replica asks for, and what follows from the new state.
    fn settle(&mut self) -> Result<()> {
        self.carry_out()?;
        self.watch_role();
        self.lead();
        self.carry_out()?;
        self.save_snapshot()?;
        Ok(())
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
        Ok(Some(encode_entry(entry).into()))
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
    fn recover(&mut self, error: &Error) -> Result<()> {
        warn!(event = "write-failed", error:% = error; "the replica starts anew from its log");
        self.metrics.count("control.write_failed");
        let stored = self.journal.load()?;
        self.replica = Replica::restore(self.clock.now(), stored)?;
        if let Some(in_flight) = self.in_flight.take() {
            let text = format!("the note could not be stored: {error}");
            let _ = in_flight.reply.send(Submitted::Unavailable(text));
        }
        Ok(())
    }

    fn watch_role(&mut self) {
        let replica = &self.replica;
        let seen = (replica.role(), replica.term(), replica.leader());
        if seen == self.seen {
            return;
        }
        let (role, term, leader) = seen;
        if role == Role::Leader && self.leading.is_none_or(|(t, _)| t != term) {
            info!(event = "leader-elected", term:% = term; "this replica leads");
            self.metrics.count("control.elected");
            self.leading = Some((term, self.clock.now()));
            self.proposed = Position(0);
        } else if role != Role::Leader && self.leading.take().is_some() {
            info!(event = "leader-left", term:% = term; "this replica leads no longer");
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
        while self.in_flight.is_none() && !self.queue.is_empty() {
            let (note, reply) = self.queue.remove(0);
            self.submit(now, note, reply);
        }
        self.accept(now);
        self.register(now);
    }

    fn submit(&mut self, now: Time, note: Note, reply: oneshot::Sender<Submitted>) {
        let digest = note.digest();
        let answer = if note.number() <= self.state.config().number() {
            match self.state.note(note.number()) {
                Some(head) if head.digest == digest => Submitted::Taken(head.clone()),
                head => Submitted::Conflict(head.cloned()),
            }
        } else if let Err(errors) = self.state.config().clone().apply(&note) {
            Submitted::Invalid(errors)
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
                Submitted::Taken(head)
            }
            None => Submitted::Unavailable("another leader took over; send it again".to_owned()),
        };
        let _ = in_flight.reply.send(answer);
    }

    fn accept(&mut self, now: Time) {
        let holds = |registry: &_, position| self.nodes.majority_holds(now, registry, position);
        let Some(position) = self.state.acceptable(holds) else {
            return;
        };
        if position <= self.proposed {
            return;
        }
        if self.replica.propose(now, Entry::Accepted(position)).is_ok() {
            self.proposed = position;
            info!(event = "accepted", position:% = position; "held by a majority of the nodes");
        }
    }

    fn register(&mut self, now: Time) {
        let Some((_, since)) = self.leading else {
            return;
        };
        if self
            .registry_changed
            .is_some_and(|t| now < t + CHANGE_INTERVAL)
        {
            return;
        }
        let change = self.nodes.due_change(now, since, &self.state.registry());
        if change.added.is_empty() && change.removed.is_empty() {
            return;
        }
        let entry = Entry::Nodes(change.encode().into());
        if self.replica.propose(now, entry).is_ok() {
            self.registry_changed = Some(now);
            let (added, removed) = (change.added.len(), change.removed.len());
            info!(event = "registry-changed", added = added, removed = removed; "node registry changed");
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
