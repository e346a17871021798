//! Bootstrap of a control group from seeds, its growth, and the replacement of lost members.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use laburnumtide::config::{Note, Replacement};
use laburnumtide::control::driver::SubmitResult;
use laburnumtide::control::journal::MemoryJournal;
use laburnumtide::control::{Handle, OFFLINE_TIME, Settings, spawn_with, voters_for};
use laburnumtide::prelude::*;
use laburnumtide::wire::Secret;

/// Timeout for a condition on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);

static NETWORKS: AtomicU32 = AtomicU32::new(0);

/// A separate loopback network for each test.
struct Network(u32);

impl Network {
    fn new() -> Network {
        let count = NETWORKS.fetch_add(1, Ordering::Relaxed);
        Network((std::process::id() << 3) | count)
    }

    fn addr(&self, host: u8, port: u16) -> SocketAddr {
        let ip = [127, 208 + (self.0 >> 8 & 31) as u8, self.0 as u8, host];
        SocketAddr::from((ip, port))
    }

    async fn start(&self, host: u8, seeds: &[u8], first: bool) -> Handle {
        let seeds: Vec<SocketAddr> = seeds.iter().map(|s| self.addr(*s, 7100)).collect();
        let settings = Settings {
            link: self.addr(host, 7100),
            operator: self.addr(host, 7101),
            peers: Vec::new(),
            bootstrap: false,
            voters: voters_for(2),
            offline: OFFLINE_TIME,
            data_dir: "unused".into(),
            fleet_secret: Secret::new(b"fleet-secret-0123456789").unwrap(),
            operator_secret: Secret::new(b"operator-secret-0123456789").unwrap(),
            statsd: None,
        };
        let settings = settings.with_seeds(&seeds, first);
        let start = Instant::now();
        loop {
            // The tasks of an earlier process on the address end slightly after its thread.
            match spawn_with(settings.clone(), MemoryJournal::new()).await {
                Ok(handle) => return handle,
                Err(e) => assert!(start.elapsed() < TIMEOUT, "{e}"),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn eventually(what: &str, mut test: impl FnMut() -> bool) {
    let start = Instant::now();
    while !test() {
        assert!(start.elapsed() < TIMEOUT, "timed out: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn voters(handle: &Handle) -> Vec<SocketAddr> {
    let meta = handle.view().meta();
    let members = meta.replicas.members().iter();
    let mut links: Vec<SocketAddr> = members.filter(|m| m.voter).map(|m| m.link).collect();
    links.sort();
    links
}

fn leader(handles: &[Handle]) -> Option<&Handle> {
    let leads = |h: &&Handle| h.operator_api().newest_state().is_some();
    handles.iter().find(leads)
}

fn note(number: u64, base: u64) -> Note {
    Note::replace(Replacement {
        number: NoteNumber(number),
        base: NoteNumber(base),
        document: Bytes::from(format!("document {number}")),
        ..Replacement::default()
    })
    .unwrap()
}

/// Submits a note to the current leader until the result is definite.
async fn submit(handles: &[Handle], number: u64, base: u64) -> SubmitResult {
    let start = Instant::now();
    loop {
        assert!(
            start.elapsed() < TIMEOUT,
            "no definite result for note {number}"
        );
        if let Some(leader) = leader(handles) {
            let response = leader.operator_api().submit_note(note(number, base)).await;
            if !matches!(
                response,
                SubmitResult::NotLeader | SubmitResult::Unavailable(_)
            ) {
                return response;
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn start_group(network: &Network) -> Vec<Handle> {
    let mut handles = Vec::new();
    for host in 1..=5 {
        handles.push(network.start(host, &[1, 2, 3], true).await);
    }
    eventually("five voters", || {
        handles.iter().all(|h| voters(h).len() == 5)
    })
    .await;
    handles
}

/// Guards against a group that stays at its three seeds, where the loss of two disks loses notes.
#[tokio::test]
async fn grows_to_five() {
    let network = Network::new();
    let handles = start_group(&network).await;
    assert!(matches!(
        submit(&handles, 3, 0).await,
        SubmitResult::Committed(_)
    ));
    assert!(matches!(
        submit(&handles, 3, 0).await,
        SubmitResult::Committed(_)
    ));
    assert!(matches!(
        submit(&handles, 5, 0).await,
        SubmitResult::Conflict(_)
    ));
    let leader = leader(&handles).unwrap();
    let state = leader.operator_api().newest_state().unwrap();
    assert_eq!(state.document(), Some(&Bytes::from("document 3")));
}

/// Guards against a first note that is committed while the loss of two disks could lose it.
#[tokio::test]
async fn waits_for_voters() {
    let network = Network::new();
    let mut handles = Vec::new();
    for host in 1..=3 {
        handles.push(network.start(host, &[1, 2, 3], true).await);
    }
    eventually("the three voters have a leader", || {
        leader(&handles).is_some()
    })
    .await;
    let api = leader(&handles).unwrap().operator_api();
    let response = api.submit_note(note(1, 0)).await;
    assert!(
        matches!(response, SubmitResult::Unavailable(_)),
        "{response:?}"
    );
}

/// Guards against processes with empty disks bootstrapping a second group after the first start.
#[tokio::test]
async fn no_second_bootstrap() {
    let network = Network::new();
    let mut handles = Vec::new();
    for host in 1..=3 {
        handles.push(network.start(host, &[1, 2, 3], false).await);
    }
    // Longer than a bootstrap takes, which the other tests show.
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(handles.iter().all(|h| voters(h).is_empty()));
}

/// Guards against a permanently lost VM that still counts in every majority, and against a
/// replacement at a new address that never joins the group.
#[tokio::test]
async fn replaced_at_new_address() {
    let network = Network::new();
    let mut handles = start_group(&network).await;
    submit(&handles, 1, 0).await;
    let lost = handles.remove(3);
    let address = lost.link();
    lost.stop().await.unwrap();
    // The replacement's seeds are three of the first five members, one of which is lost.
    handles.push(network.start(6, &[1, 2, 4], false).await);
    let replacement = network.addr(6, 7100);
    eventually("the replacement is a voter", || {
        let voters = voters(&handles[0]);
        voters.len() == 5 && voters.contains(&replacement) && !voters.contains(&address)
    })
    .await;
    assert!(matches!(
        submit(&handles, 2, 1).await,
        SubmitResult::Committed(_)
    ));
}

/// Guards against a lost note when two voters lose their disks right after the commit.
#[tokio::test]
async fn two_disks_lost() {
    let network = Network::new();
    let mut handles = start_group(&network).await;
    submit(&handles, 1, 0).await;
    for host in [1, 2] {
        let at = handles
            .iter()
            .position(|h| h.link() == network.addr(host, 7100));
        handles.remove(at.unwrap()).stop().await.unwrap();
    }
    for host in [1, 2] {
        handles.push(network.start(host, &[1, 2, 3], false).await);
    }
    eventually("five voters again", || {
        handles.iter().all(|h| voters(h).len() == 5)
    })
    .await;
    eventually("the group has a leader", || leader(&handles).is_some()).await;
    let state = leader(&handles).unwrap().operator_api().newest_state();
    assert_eq!(state.unwrap().document(), Some(&Bytes::from("document 1")));
}

/// Returns the link addresses of all members of the group.
fn members(handle: &Handle) -> Vec<SocketAddr> {
    let meta = handle.view().meta();
    meta.replicas.members().iter().map(|m| m.link).collect()
}

/// Returns the last part of a process's address.
fn host_of(handle: &Handle) -> u8 {
    match handle.link().ip() {
        IpAddr::V4(ip) => ip.octets()[3],
        IpAddr::V6(_) => unreachable!("the networks are IPv4"),
    }
}

/// Waits until the group consists of the running processes, five of them voters.
async fn settled(handles: &[Handle]) {
    let running: Vec<SocketAddr> = handles.iter().map(Handle::link).collect();
    eventually("the group has only running members", || {
        let Some(leader) = leader(handles) else {
            return false;
        };
        let members = members(leader);
        voters(leader).len() == 5
            && members.len() == handles.len()
            && members.iter().all(|m| running.contains(m))
    })
    .await;
}

/// Guards against learners that are lost for good and fill the group, so that later machines are
/// refused until no majority of the voters is left (review/1).
#[tokio::test]
async fn replaced_one_by_one() {
    let network = Network::new();
    let mut handles = start_group(&network).await;
    submit(&handles, 1, 0).await;
    for host in 6..=7 {
        handles.push(network.start(host, &[1, 2, 3], false).await);
    }
    settled(&handles).await;
    for (i, host) in (8..=14).enumerate() {
        let voting = voters(leader(&handles).unwrap());
        let is_next = |h: &Handle| match i {
            // The learners, the leader, then other voters.
            0 | 1 => !voting.contains(&h.link()),
            2 => h.operator_api().newest_state().is_some(),
            _ => voting.contains(&h.link()),
        };
        let at = handles.iter().position(is_next).unwrap();
        handles.remove(at).stop().await.unwrap();
        let seeds: Vec<u8> = handles.iter().take(3).map(host_of).collect();
        // A first successor is lost while it copies.
        let lost = network.start(100 + host, &seeds, false).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        lost.stop().await.unwrap();
        handles.push(network.start(host, &seeds, false).await);
        settled(&handles).await;
    }
    // The same VM comes back with an empty disk.
    let lost = handles.remove(0);
    let host = host_of(&lost);
    lost.stop().await.unwrap();
    let seeds: Vec<u8> = handles.iter().take(3).map(host_of).collect();
    handles.push(network.start(host, &seeds, false).await);
    settled(&handles).await;
    assert!(matches!(
        submit(&handles, 2, 1).await,
        SubmitResult::Committed(_)
    ));
    let state = leader(&handles).unwrap().operator_api().newest_state();
    assert_eq!(state.unwrap().document(), Some(&Bytes::from("document 2")));
}
