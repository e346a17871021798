//! Control groups over real sockets on loopback addresses and real data directories.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use laburnumtide::control::api::NoteState;
use laburnumtide::control::journal::StoreJournal;
use laburnumtide::control::{Handle, OFFLINE_TIME, Settings, spawn, spawn_with};
use laburnumtide::ctl::{Client, SubmitResponse};
use laburnumtide::fleet::Member;
use laburnumtide::metrics::Metrics;
use laburnumtide::node::components::ActiveConfig;
use laburnumtide::node::sync::ControlClient;
use laburnumtide::node::view::FleetView;
use laburnumtide::prelude::*;
use laburnumtide::replica::Confirmation;
use laburnumtide::storage::fake::FakeDisk;
use laburnumtide::wire::sync::{Client as SyncClient, Response};
use laburnumtide::wire::{Channel, Hello, Peer, Protocol, Role, Secret, accept};
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

const TIMEOUT: Duration = Duration::from_secs(30);

static NETWORKS: AtomicU32 = AtomicU32::new(0);

struct Group {
    dir: TempDir,
    network: u32,
    size: usize,
    handles: Vec<Option<Handle>>,
}

fn fleet_secret() -> Secret {
    Secret::new(b"fleet-secret-0123456789").unwrap()
}

fn operator_secret() -> Secret {
    Secret::new(b"operator-secret-0123456789").unwrap()
}

impl Group {
    async fn start(size: usize) -> Group {
        let network = (std::process::id() << 4) | (NETWORKS.fetch_add(1, Ordering::Relaxed) & 15);
        let handles = (0..size).map(|_| None).collect();
        let dir = TempDir::new().unwrap();
        let mut group = Group {
            dir,
            network,
            size,
            handles,
        };
        for i in 0..size {
            group.spawn(i).await;
        }
        group
    }

    fn addr(&self, host: usize, port: u16) -> SocketAddr {
        let n = self.network;
        let ip = [127, 144 + (n >> 8 & 63) as u8, n as u8, host as u8 + 1];
        SocketAddr::from((ip, port))
    }

    fn data_dir(&self, i: usize) -> std::path::PathBuf {
        self.dir.path().join(format!("control{i}"))
    }

    fn settings(&self, i: usize) -> Settings {
        let others = (0..self.size).filter(|j| *j != i);
        Settings {
            link: self.addr(i, 7100),
            operator: self.addr(i, 7101),
            peers: others.map(|j| self.addr(j, 7100)).collect(),
            bootstrap: true,
            voters: 0,
            offline: OFFLINE_TIME,
            data_dir: self.data_dir(i),
            fleet_secret: fleet_secret(),
            operator_secret: operator_secret(),
            statsd: None,
        }
    }

    async fn spawn(&mut self, i: usize) {
        self.handles[i] = Some(spawn(self.settings(i)).await.unwrap());
    }

    async fn stop(&mut self, i: usize) {
        if let Some(handle) = self.handles[i].take() {
            handle.stop().await.unwrap();
        }
    }

    fn client(&self) -> Client {
        let addrs = (0..self.size).map(|i| self.addr(i, 7101)).collect();
        Client::new(addrs, operator_secret())
    }

    async fn leader(&self) -> usize {
        let start = Instant::now();
        loop {
            let leads = |h: &Handle| {
                let meta = h.view().meta();
                meta.leader == Some(h.id()) && meta.committed > Position(0)
            };
            let found = self
                .handles
                .iter()
                .position(|h| h.as_ref().is_some_and(leads));
            if let Some(i) = found {
                return i;
            }
            assert!(start.elapsed() < TIMEOUT, "no leader");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn eventually(&self, what: &str, condition: impl Fn(&Group) -> bool) {
        let start = Instant::now();
        while !condition(self) {
            assert!(start.elapsed() < TIMEOUT, "timed out: {what}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

fn note(number: u64, account: &str) -> String {
    format!(
        "number = {number}\ntitle = \"adds {account}\"\n\n[[added.accounts]]\nname = \"{account}\"\nrate = \"5/s\"\nburst = 5\n"
    )
}

async fn submit(client: &mut Client, text: &str) -> NoteState {
    match client.submit(text, TIMEOUT).await.unwrap() {
        SubmitResponse::Committed(state) => state,
        other => panic!("{other:?}"),
    }
}

/// A node that only syncs its configuration.
struct Node {
    member: Member,
    peers: Vec<Peer>,
    clock: Monotonic,
    client: SyncClient,
    /// Aborted when the node is dropped.
    _listener_task: JoinSet<()>,
}

/// Binds an address, retrying until the task that held it has ended.
async fn bind(addr: SocketAddr) -> TcpListener {
    let start = Instant::now();
    loop {
        match TcpListener::bind(addr).await {
            Ok(listener) => return listener,
            Err(e) => assert!(start.elapsed() < TIMEOUT, "{addr}: {e}"),
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

impl Node {
    async fn new(group: &Group, i: usize) -> Node {
        let member = Member {
            id: NodeId::random(),
            addr: group.addr(50 + i, 7201),
            zone: format!("zone-{i}").parse().unwrap(),
        };
        let hello = Hello {
            role: Role::Node,
            id: member.id.0,
            protocol: Protocol::Frames,
        };
        let listener = bind(member.addr).await;
        let mut listener_task = JoinSet::new();
        listener_task.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = accept(stream, &fleet_secret(), hello).await;
            }
        });
        let peer = |i| Peer::new(group.addr(i, 7100), fleet_secret(), hello);
        Node {
            member,
            peers: (0..group.size).map(peer).collect(),
            clock: Monotonic::new(),
            client: SyncClient::new(),
            _listener_task: listener_task,
        }
    }

    async fn sync(&mut self, i: usize, wait: Duration) -> Option<Response> {
        let request = self
            .client
            .request(self.clock.now(), self.member.clone(), wait);
        let limit = wait + Duration::from_secs(1);
        let bytes = self.peers[i]
            .call(Channel::Sync, request.encode(), limit)
            .await;
        let response = Response::decode(bytes.ok()?).unwrap();
        self.client.apply(&response).unwrap();
        Some(response)
    }

    async fn run(mut self) {
        loop {
            for i in 0..self.peers.len() {
                self.sync(i, Duration::ZERO).await;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Guards against wrong responses to an operator who resubmits a note, submits a conflicting or
/// invalid one, or has the wrong secret.
#[tokio::test(flavor = "multi_thread")]
async fn operator_responses() {
    let group = Group::start(3).await;
    let mut client = group.client();
    let first = submit(&mut client, &note(1, "yard")).await;
    assert!(
        first.accepted,
        "without nodes, a committed note is accepted"
    );
    let again = submit(&mut client, &note(1, "yard")).await;
    assert_eq!(again, first);
    match client.submit(&note(1, "office"), TIMEOUT).await.unwrap() {
        SubmitResponse::Conflict(conflict) => {
            assert_eq!(conflict.title.as_deref(), Some("adds yard"));
            assert_eq!(conflict.digest, Some(first.digest));
            assert_eq!(conflict.next, NoteNumber(2));
        }
        other => panic!("{other:?}"),
    }
    match client.submit(&note(2, "yard"), TIMEOUT).await.unwrap() {
        SubmitResponse::Invalid(invalid) => assert_eq!(invalid.errors[0].line, 5),
        other => panic!("{other:?}"),
    }
    let status = client.status(TIMEOUT).await.unwrap();
    assert_eq!((status.number, status.replicas.len()), (NoteNumber(1), 3));
    let wrong_secret = Secret::new(b"another-secret-0123456789").unwrap();
    let mut unauthorized = Client::new(vec![group.addr(0, 7101)], wrong_secret);
    assert!(unauthorized.status(Duration::ZERO).await.is_err());
}

/// Guards against notes that are lost, duplicated or reordered when leaders stop between
/// submissions, and against a failover that takes longer than 3 s.
#[tokio::test(flavor = "multi_thread")]
async fn leader_stops() {
    let mut group = Group::start(3).await;
    let mut client = group.client();
    let mut number = 0;
    for _ in 0..4 {
        let leader = group.leader().await;
        for _ in 0..5 {
            number += 1;
            let start = Instant::now();
            let state = submit(&mut client, &note(number, &format!("a{number}"))).await;
            println!("commit_us={}", start.elapsed().as_micros());
            assert_eq!(state.number, NoteNumber(number));
        }
        group.stop(leader).await;
        let start = Instant::now();
        group.leader().await;
        println!("failover_ms={}", start.elapsed().as_millis());
        assert!(start.elapsed() < Duration::from_secs(3));
        number += 1;
        submit(&mut client, &note(number, &format!("a{number}"))).await;
        group.spawn(leader).await;
    }
    let state = |g: &Group, i: usize| g.handles[i].as_ref().unwrap().view().state();
    let all = |g: &Group| (0..3).all(|i| state(g, i).config().number() == NoteNumber(number));
    group.eventually("every replica has every note", all).await;
    let config = state(&group, 0).config().encode();
    assert_eq!(state(&group, 0).config().accounts().len() as u64, number);
    assert!((1..3).all(|i| state(&group, i).config().encode() == config));
}

/// Guards against a replica that lost its disk voting under its old identity, and against lost notes
/// when another disk is lost right after the repair.
#[tokio::test(flavor = "multi_thread")]
async fn lost_data_dirs() {
    let mut group = Group::start(3).await;
    let mut client = group.client();
    for round in 1..=3 {
        submit(&mut client, &note(round, &format!("a{round}"))).await;
        let lost = round as usize - 1;
        let old = group.handles[lost].as_ref().unwrap().id();
        group.stop(lost).await;
        std::fs::remove_dir_all(group.data_dir(lost)).unwrap();
        group.spawn(lost).await;
        let new = group.handles[lost].as_ref().unwrap().id();
        assert_ne!(old, new);
        let replaced = |g: &Group| {
            let mut metas = g.handles.iter().flatten().map(|h| h.view().meta());
            metas.all(|m| m.replicas.is_voter(new) && m.replicas.get(old).is_none())
        };
        group
            .eventually("the new identity is a voter", replaced)
            .await;
    }
    let state = submit(&mut client, &note(4, "a4")).await;
    assert_eq!(state.number, NoteNumber(4));
    let complete = |g: &Group| {
        let mut states = g.handles.iter().flatten().map(|h| h.view().state());
        states.all(|s| s.config().accounts().len() == 4)
    };
    group
        .eventually("every replica has every note", complete)
        .await;
}

/// Guards against notes reported as accepted that a majority of the nodes doesn't hold, and against
/// commits that reach a long-polling node late.
#[tokio::test(flavor = "multi_thread")]
async fn node_sync() {
    let group = Group::start(3).await;
    let mut client = group.client();
    group.leader().await;
    let (mut a, b) = (Node::new(&group, 0).await, Node::new(&group, 1).await);
    let ids = [a.member.id, b.member.id];
    let run = tokio::spawn(b.run());
    let start = Instant::now();
    while a.client.state().registry().members().len() < 2 {
        for i in 0..3 {
            a.sync(i, Duration::ZERO).await;
        }
        assert!(start.elapsed() < TIMEOUT, "both nodes are registered");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for i in 0..3 {
        a.sync(i, Duration::ZERO).await;
    }
    // Node a stops syncing, so only one of two holds the note, which is no majority.
    let state = submit(&mut client, &note(1, "yard")).await;
    assert!(!state.accepted);
    assert_eq!(state.missing, vec![ids[0]]);
    let leader = group.leader().await;
    let current = a.sync(leader, Duration::ZERO).await.unwrap();
    assert_eq!(current.confirmation, Confirmation::Leader);
    a.sync(leader, Duration::ZERO).await;
    let start = Instant::now();
    while !client.note(NoteNumber(1), TIMEOUT).await.unwrap().accepted {
        assert!(start.elapsed() < TIMEOUT, "the note is accepted");
    }
    while a.client.state().accepted() < state.position {
        a.sync(leader, Duration::ZERO).await;
    }
    let submitted = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let start = Instant::now();
        submit(&mut client, &note(2, "office")).await;
        start
    });
    a.sync(leader, Duration::from_secs(10)).await.unwrap();
    let reached = Instant::now();
    assert_eq!(a.client.state().config().number(), NoteNumber(2));
    let start = submitted.await.unwrap();
    println!("push_us={}", reached.duration_since(start).as_micros());
    run.abort();
}

/// Guards against notes that are never accepted after every node has restarted, since the processes
/// in the old registry can no longer acknowledge them.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_nodes() {
    let group = Group::start(3).await;
    let mut client = group.client();
    let mut ids = Vec::new();
    for _ in 0..2 {
        let (a, b) = (Node::new(&group, 0).await, Node::new(&group, 1).await);
        ids = vec![a.member.id, b.member.id];
        ids.sort();
        let mut running = JoinSet::new();
        running.spawn(a.run());
        running.spawn(b.run());
        let registered = |g: &Group| {
            let registry = g.handles[0].as_ref().unwrap().view().state().registry();
            registry.ids() == ids
        };
        group
            .eventually("the registry contains the nodes", registered)
            .await;
        running.shutdown().await;
    }
    let (a, b) = (Node::new(&group, 0).await, Node::new(&group, 1).await);
    let mut running = JoinSet::new();
    running.spawn(a.run());
    running.spawn(b.run());
    let state = submit(&mut client, &note(1, "yard")).await;
    let start = Instant::now();
    while !client.note(state.number, TIMEOUT).await.unwrap().accepted {
        assert!(start.elapsed() < TIMEOUT, "the note is accepted");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let replaced = |g: &Group| {
        let registry = g.handles[0].as_ref().unwrap().view().state().registry();
        ids.iter().all(|id| registry.get(*id).is_none())
    };
    group
        .eventually("the registry contains no ended node", replaced)
        .await;
}

/// Guards against nodes and replicas that can't catch up once the entries that they missed are
/// compacted away.
#[tokio::test(flavor = "multi_thread")]
async fn far_behind() {
    let mut group = Group::start(3).await;
    let mut client = group.client();
    let leader = group.leader().await;
    let stopped = (leader + 1) % 3;
    // The snapshot takes several chunks.
    let more = (0..9_000).map(|n| {
        format!("[[added.accounts]]\nname = \"member-of-a-large-list-{n:05}\"\nrate = \"5/s\"\nburst = 5\n")
    });
    let large = note(1, "a1") + &more.collect::<String>();
    submit(&mut client, &large).await;
    group.stop(stopped).await;
    // Each note is followed by an entry for its acceptance, so these are more entries than are kept
    // in memory.
    for number in 2..=1_200 {
        submit(&mut client, &note(number, &format!("a{number}"))).await;
    }
    group.spawn(stopped).await;
    let current = |g: &Group| {
        let view = g.handles[stopped].as_ref().unwrap().view();
        view.state().config().number() == NoteNumber(1_200)
    };
    group.eventually("the replica has caught up", current).await;
    let mut node = Node::new(&group, 0).await;
    let start = Instant::now();
    while node.client.state().config().number() < NoteNumber(1_200) {
        node.sync(stopped, Duration::ZERO).await;
        assert!(start.elapsed() < TIMEOUT, "the node catches up");
    }
    let view = group.handles[stopped].as_ref().unwrap().view();
    assert!(
        view.entries_after(Position(0), 1, 1).is_none(),
        "early entries are dropped"
    );
    let config = view.state().config().encode();
    assert_eq!(node.client.state().config().encode(), config);
}

/// Guards against a corrupt log being accepted as valid.
#[tokio::test(flavor = "multi_thread")]
async fn corrupt_log() {
    let mut group = Group::start(1).await;
    submit(&mut group.client(), &note(1, "yard")).await;
    group.stop(0).await;
    flip_bit(&group.data_dir(0).join("log"), b"yard");
    let error = spawn(group.settings(0)).await.unwrap_err();
    assert_eq!(error.category(), Category::Corrupt);
}

/// Guards against a full or failing disk that loses notes, ends the process or blocks reads.
#[tokio::test(flavor = "multi_thread")]
async fn failing_disk() {
    let mut group = Group::start(0).await;
    group.size = 1;
    let disk = FakeDisk::new();
    let journal = StoreJournal::open(disk.clone(), "data").unwrap();
    let handle = spawn_with(group.settings(0), journal).await.unwrap();
    let mut client = group.client();
    submit(&mut client, &note(1, "yard")).await;
    for number in [2, 3] {
        let text = note(number, &format!("a{number}"));
        match number {
            2 => disk.set_free_bytes(Some(0)),
            _ => disk.set_sync_fails(true),
        }
        let refused = client.submit(&text, Duration::ZERO).await.unwrap_err();
        assert_eq!(refused.category(), Category::Unavailable);
        let status = client.status(TIMEOUT).await.unwrap();
        assert_eq!(status.number, NoteNumber(number - 1));
        disk.set_free_bytes(None);
        disk.set_sync_fails(false);
        let state = submit(&mut client, &text).await;
        assert_eq!(state.number, NoteNumber(number));
    }
    handle.stop().await.unwrap();
}

/// Flips a bit in the first occurrence of `text`.
fn flip_bit(path: &Path, text: &[u8]) {
    let mut bytes = std::fs::read(path).unwrap();
    let at = bytes.windows(text.len()).position(|w| w == text).unwrap();
    bytes[at] ^= 1;
    std::fs::write(path, bytes).unwrap();
}

/// Guards against a process that can't bind its address when it starts again right after its stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stop_releases_addresses() {
    let mut group = Group::start(1).await;
    let settings = group.settings(0);
    for round in 0..200 {
        group.stop(0).await;
        for addr in [settings.link, settings.operator] {
            let bound = std::net::TcpListener::bind(addr);
            assert!(bound.is_ok(), "round {round}: {bound:?}");
        }
        group.spawn(0).await;
    }
}

/// Guards against a node that starts with an empty list of seeds and never follows the log, also
/// after the list is filled.
#[tokio::test(flavor = "multi_thread")]
async fn empty_seeds() {
    let group = Group::start(3).await;
    let mut client = group.client();
    let id = NodeId::random();
    let member = Member {
        id,
        addr: group.addr(50, 7200),
        zone: "zone-1".parse().unwrap(),
    };
    let hello = Hello {
        role: Role::Node,
        id: id.0,
        protocol: Protocol::Frames,
    };
    let config = Arc::new(ActiveConfig::new());
    let view = Arc::new(FleetView::new(member, Monotonic::new(), config));
    let (seeds, receiver) = watch::channel(Vec::new());
    let metrics = Metrics::open(None).unwrap();
    let control = ControlClient::new(view.clone(), receiver, fleet_secret(), hello, metrics);
    let control = Arc::new(control);
    let poller = control.clone();
    let polls = tokio::spawn(async move { poller.poll_freshness().await });
    let watches = tokio::spawn(async move { control.watch_changes().await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!polls.is_finished() && !watches.is_finished());
    submit(&mut client, &note(1, "yard")).await;
    seeds.send_replace(vec![group.addr(0, 7100)]);
    for number in 1..=2 {
        let start = Instant::now();
        while view.note_number() < NoteNumber(number) {
            assert!(start.elapsed() < Duration::from_secs(3), "note {number}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        submit(&mut client, &note(number + 1, &format!("office-{number}"))).await;
    }
    polls.abort();
    watches.abort();
}
