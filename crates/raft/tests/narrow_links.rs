//! Replication over links of 2 Mbit/s, on which some messages take seconds.

mod cluster;

use prost::Message as _;
use raft::{Config, HardState, Membership, Message, PersistentState, RaftNode, Snapshot, Voter};
use std::collections::BTreeMap;

const CONFIG: Config = Config {
    append_bytes: 256 * 1024,
    retained_bytes: 16 * 1024,
    ..cluster::CONFIG
};
/// One-way latency, in milliseconds.
const LATENCY_MS: u64 = 30;
/// Bandwidth of a narrow link: 2 Mbit/s, in bytes per second.
const NARROW_BYTES_PER_S: u64 = 250_000;
const FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Nodes on simulated time, whose links have a limited bandwidth in each direction.
#[derive(Default)]
struct Network {
    now: u64,
    nodes: BTreeMap<u64, RaftNode>,
    disks: BTreeMap<u64, PersistentState>,
    bytes_per_s: BTreeMap<u64, u64>,
    link_free_at_us: BTreeMap<(u64, bool), u64>,
    in_transit: Vec<(u64, u64, u64, Message)>,
    bytes_to: BTreeMap<u64, usize>,
    max_message_bytes: usize,
    /// Size of the snapshot data, in bytes.
    state_bytes: usize,
}

fn membership(ids: &[u64]) -> Membership {
    let voter = |id: &u64| Voter {
        id: *id,
        ..Default::default()
    };
    Membership {
        voters: ids.iter().map(voter).collect(),
        ..Default::default()
    }
}

impl Network {
    /// Creates a network of voters 1 to 3, of which the first `holders` have a snapshot of
    /// `state_bytes` bytes.
    fn new(state_bytes: usize, holders: u64) -> Network {
        let mut network = Network {
            state_bytes,
            ..Default::default()
        };
        for id in 1..=3 {
            let mut snapshot = Snapshot::default();
            if id <= holders {
                snapshot = Snapshot {
                    index: 5,
                    term: 1,
                    membership: Some(membership(&[1, 2, 3])),
                    data: vec![7; state_bytes],
                };
            }
            let persisted_state = PersistentState {
                hard_state: HardState { term: 1, vote: 0 },
                snapshot,
                ..Default::default()
            };
            network.disks.insert(id, persisted_state);
            network.start(id);
        }
        network
    }

    /// Starts a node from its persisted state.
    fn start(&mut self, id: u64) {
        let persisted_state = self.disks.get(&id).cloned().unwrap_or_default();
        let node = RaftNode::new(id, persisted_state, CONFIG, self.now, self.now + id);
        self.nodes.insert(id, node);
    }

    fn transmit(&mut self, node: u64, is_outgoing: bool, at: u64, bytes: usize) -> u64 {
        let Some(bytes_per_s) = self.bytes_per_s.get(&node) else {
            return at;
        };
        let free_at_us = self.link_free_at_us.entry((node, is_outgoing)).or_default();
        *free_at_us = (*free_at_us).max(at * 1000) + bytes as u64 * 1_000_000 / bytes_per_s;
        *free_at_us / 1000
    }

    fn step(&mut self) {
        self.now += 10;
        let now = self.now;
        let in_transit = std::mem::take(&mut self.in_transit);
        let (due, not_due): (Vec<_>, Vec<_>) = in_transit.into_iter().partition(|f| f.0 <= now);
        self.in_transit = not_due;
        for (_, from, to, message) in due {
            if let Some(node) = self.nodes.get_mut(&to) {
                node.step(now, from, message);
            }
        }
        let ids: Vec<u64> = self.nodes.keys().copied().collect();
        for id in ids {
            let Some(mut node) = self.nodes.remove(&id) else {
                continue;
            };
            node.tick(now);
            if now.is_multiple_of(200) {
                node.repeat_subscription();
            }
            let mut messages = Vec::new();
            loop {
                let ready = node.take_ready();
                messages.extend(ready.messages.into_iter().chain(ready.persisted_messages));
                self.disks.entry(id).or_default().apply(ready.write);
                node.on_persisted(node.last_position());
                let installed = ready.snapshot.map(|s| s.index);
                let applied = ready.committed_entries.last().map(|e| e.index).or(installed);
                let Some(index) = applied else { break };
                node.on_applied(index);
            }
            if node.log_bytes() > (24 * 1024).max(node.snapshot_bytes()) {
                node.compact(vec![7; self.state_bytes]);
            }
            self.nodes.insert(id, node);
            for message in messages {
                let to = message.to;
                let bytes = message.encoded_len();
                self.max_message_bytes = self.max_message_bytes.max(bytes);
                *self.bytes_to.entry(to).or_default() += bytes;
                let departure = self.transmit(id, true, now, bytes);
                let arrival = self.transmit(to, false, departure + LATENCY_MS, bytes);
                self.in_transit.push((arrival, id, to, message));
            }
        }
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    fn leader(&self) -> Option<u64> {
        let holds_lease = |n: &&RaftNode| n.holds_lease(self.now);
        self.nodes.values().find(holds_lease).map(RaftNode::id)
    }

    fn propose(&mut self, bytes: usize) -> u64 {
        let leader = self.leader().expect("no leader holds a lease");
        let node = self.nodes.get_mut(&leader).expect("the node is not running");
        node.propose(vec![1; bytes])
            .expect("the leader rejected the proposal")
            .index
    }

    /// Runs until all nodes are current, have committed entry `min_index` and are near the
    /// highest commit index. Returns the elapsed time in milliseconds. If `change_bytes` is
    /// not 0, an entry of that size is proposed every `change_interval_ms`.
    fn run_until_caught_up(
        &mut self,
        timeout_ms: u64,
        min_index: u64,
        change_interval_ms: u64,
        change_bytes: usize,
    ) -> u64 {
        let started_at = self.now;
        loop {
            self.step();
            if change_bytes > 0 && self.now.is_multiple_of(change_interval_ms) && self.leader().is_some() {
                self.propose(change_bytes);
            }
            let max_commit_index = self.nodes.values().map(RaftNode::commit_index).max().unwrap_or(0);
            // Up to two entries may still be in transit.
            let is_near_commit_index = |n: &RaftNode| {
                n.is_current() && n.commit_index() + 2 >= max_commit_index && n.commit_index() >= min_index
            };
            if self.nodes.values().all(is_near_commit_index) {
                return self.now - started_at;
            }
            let positions: Vec<(u64, u64)> = self
                .nodes
                .values()
                .map(|n| (n.commit_index(), n.term()))
                .collect();
            assert!(
                self.now - started_at < timeout_ms,
                "not caught up after {timeout_ms} ms: commit indexes and terms {positions:?}"
            );
        }
    }
}

/// A voter restarts with an empty disk behind a narrow link, on which the snapshot takes four
/// seconds, while entries are being proposed. It must be sent the snapshot only once, followed
/// by the entries proposed in the meantime.
#[test]
fn slow_snapshot_is_sent_once() {
    let mut network = Network::new(1_000_000, 2);
    network.nodes.remove(&3);
    network.run(2000);
    let (leader, term) = (network.leader(), network.nodes[&1].term());
    network.bytes_per_s.insert(3, NARROW_BYTES_PER_S);
    network.start(3);
    network.bytes_to.clear();
    let elapsed_ms = network.run_until_caught_up(12_000, 0, 200, 2_000);
    let bytes = network.bytes_to[&3];
    println!("caught up in {elapsed_ms} ms, {bytes} bytes");
    assert!(bytes < 1_400_000, "{bytes} bytes were sent");
    assert_eq!(
        (network.leader(), network.nodes[&1].term()),
        (leader, term),
        "the leader or the term changed"
    );
}

/// The log is compacted while a snapshot is in transit. The compacted entries must be sent
/// after it as entries, not within a second snapshot.
#[test]
fn entries_compacted_during_a_snapshot_transfer_are_sent_as_entries() {
    let mut network = Network::new(1_000_000, 2);
    network.nodes.remove(&3);
    network.run(2000);
    for _ in 0..16 {
        network.propose(60_000);
        network.run(100);
    }
    network.bytes_per_s.insert(3, NARROW_BYTES_PER_S);
    network.start(3);
    network.bytes_to.clear();
    let elapsed_ms = network.run_until_caught_up(25_000, 0, 1000, 60_000);
    let (bytes, change_bytes) = (network.bytes_to[&3], elapsed_ms as usize / 1000 * 60_000);
    println!("caught up in {elapsed_ms} ms, {bytes} bytes, {change_bytes} bytes of changes");
    assert!(bytes < 2_300_000 + change_bytes, "{bytes} bytes were sent");
}

/// An entry takes seconds on every link. Heartbeats must get through in the meantime, so that
/// the leader is not replaced.
#[test]
fn large_entry_on_narrow_links_causes_no_election() {
    let mut network = Network::new(1000, 3);
    network.run(2000);
    for id in 1..=3 {
        network.bytes_per_s.insert(id, NARROW_BYTES_PER_S);
    }
    let (leader, term) = (network.leader(), network.nodes[&1].term());
    let index = network.propose(1_000_000);
    let elapsed_ms = network.run_until_caught_up(25_000, index, 1, 0);
    println!("replicated to all in {elapsed_ms} ms");
    assert!(network.nodes.values().all(|n| n.commit_index() >= index));
    assert_eq!(
        (network.leader(), network.nodes[&1].term()),
        (leader, term),
        "the leader or the term changed"
    );
}

/// A learner behind a narrow link stays with one voter for the whole transfer.
#[test]
fn learner_gets_a_large_snapshot_from_one_voter() {
    let mut network = Network::new(1_000_000, 3);
    network.run(2000);
    network.bytes_per_s.insert(9, NARROW_BYTES_PER_S);
    let mut node = RaftNode::new(9, PersistentState::default(), CONFIG, network.now, 9);
    node.subscribe(network.now, 2);
    network.nodes.insert(9, node);
    let started_at = network.now;
    while !network.nodes[&9].is_current() {
        network.step();
        let unresponsive_ms = network.now - network.nodes[&9].upstream().last_heard;
        assert!(
            unresponsive_ms < 1000,
            "the learner would have selected another voter"
        );
        assert!(
            network.now - started_at < 12_000,
            "the learner did not become current"
        );
    }
    println!(
        "current in {} ms, {} bytes",
        network.now - started_at,
        network.bytes_to[&9]
    );
    assert!(network.bytes_to[&9] < 1_200_000);
}

/// Neither a snapshot nor an entry has to fit into one frame.
#[test]
fn messages_larger_than_a_frame_arrive() {
    let mut network = Network::new(20 << 20, 2);
    network.nodes.remove(&3);
    network.run(2000);
    network.start(3);
    network.max_message_bytes = 0;
    let snapshot_ms = network.run_until_caught_up(20_000, 0, 1, 0);
    let index = network.propose(20 << 20);
    let entry_ms = network.run_until_caught_up(20_000, index, 1, 0);
    println!(
        "snapshot {snapshot_ms} ms, entry {entry_ms} ms, largest message {} bytes",
        network.max_message_bytes
    );
    assert!(network.nodes.values().all(|n| n.commit_index() >= index));
    assert!(
        network.max_message_bytes < FRAME_BYTES,
        "{} bytes in one frame",
        network.max_message_bytes
    );
}

/// The sender or the receiver restarts during the transfer, which then begins again.
#[test]
fn snapshot_interrupted_by_a_restart_of_either_side_arrives() {
    for restarted in [1, 2, 3] {
        let mut network = Network::new(1_000_000, 2);
        network.nodes.remove(&3);
        network.run(2000);
        network.bytes_per_s.insert(3, NARROW_BYTES_PER_S);
        network.start(3);
        network.run(2000);
        network.nodes.remove(&restarted);
        network.run(200);
        network.start(restarted);
        let elapsed_ms = network.run_until_caught_up(20_000, 0, 1, 0);
        println!("node {restarted} restarted: caught up in {elapsed_ms} ms");
    }
}

/// A snapshot that cannot be read is not installed: the node keeps its state, counts the
/// unreadable snapshot, and installs the next one that can be read.
#[test]
fn unreadable_snapshot_is_not_installed() {
    let mut network = Network::new(1_000_000, 2);
    network.nodes.remove(&3);
    network.run(2000);
    network.start(3);
    let node = network.nodes.get_mut(&3).expect("the node is not running");
    node.set_snapshot_check(|_, _| false);
    network.run(6000);
    let node = network.nodes.get_mut(&3).expect("the node is not running");
    assert_eq!(
        (node.commit_index(), node.last_index(), node.is_current()),
        (0, 0, false)
    );
    assert!(
        (2..=8).contains(&node.unreadable_snapshots()),
        "{} unreadable snapshots arrived",
        node.unreadable_snapshots()
    );
    node.set_snapshot_check(|_, data| data.len() == 1_000_000);
    network.run_until_caught_up(3000, 5, 1, 0);
    assert_eq!(network.disks[&3].snapshot.data.len(), 1_000_000);
}
