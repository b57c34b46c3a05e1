//! Links that carry 2 Mbit/s, and messages that take seconds on them.

mod cluster;

use prost::Message as _;
use raft::{Config, HardState, Membership, Message, PersistentState, RaftNode, Snapshot, Voter};
use std::collections::BTreeMap;

const CONFIG: Config = Config {
    append_bytes: 256 * 1024,
    retained_bytes: 16 * 1024,
    ..cluster::CONFIG
};
/// One way, ms.
const LATENCY: u64 = 30;
/// 2 Mbit/s.
const NARROW: u64 = 250_000;
const FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Nodes on simulated time, whose links carry so many bytes a second each way.
#[derive(Default)]
struct Net {
    now: u64,
    nodes: BTreeMap<u64, RaftNode>,
    disks: BTreeMap<u64, PersistentState>,
    width: BTreeMap<u64, u64>,
    carried_at: BTreeMap<(u64, bool), u64>,
    flights: Vec<(u64, u64, u64, Message)>,
    bytes_to: BTreeMap<u64, usize>,
    largest: usize,
    /// Size of the state, bytes.
    state: usize,
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

impl Net {
    /// Voters 1 to 3, of which so many hold a state of this size.
    fn new(state: usize, holders: u64) -> Net {
        let mut net = Net {
            state,
            ..Default::default()
        };
        for id in 1..=3 {
            let mut snapshot = Snapshot::default();
            if id <= holders {
                snapshot = Snapshot {
                    index: 5,
                    term: 1,
                    membership: Some(membership(&[1, 2, 3])),
                    data: vec![7; state],
                };
            }
            let saved = PersistentState {
                hard_state: HardState { term: 1, vote: 0 },
                snapshot,
                ..Default::default()
            };
            net.disks.insert(id, saved);
            net.start(id);
        }
        net
    }

    /// Starts a node from its disk.
    fn start(&mut self, id: u64) {
        let saved = self.disks.get(&id).cloned().unwrap_or_default();
        let node = RaftNode::new(id, saved, CONFIG, self.now, self.now + id);
        self.nodes.insert(id, node);
    }

    fn carry(&mut self, node: u64, out: bool, at: u64, bytes: usize) -> u64 {
        let Some(width) = self.width.get(&node) else {
            return at;
        };
        let free = self.carried_at.entry((node, out)).or_default();
        *free = (*free).max(at * 1000) + bytes as u64 * 1_000_000 / width;
        *free / 1000
    }

    fn step(&mut self) {
        self.now += 10;
        let now = self.now;
        let flights = std::mem::take(&mut self.flights);
        let (due, rest): (Vec<_>, Vec<_>) = flights.into_iter().partition(|f| f.0 <= now);
        self.flights = rest;
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
            let mut sent = Vec::new();
            loop {
                let ready = node.take_ready();
                sent.extend(ready.messages.into_iter().chain(ready.persisted_messages));
                self.disks.entry(id).or_default().apply(ready.write);
                node.on_persisted(node.last_position());
                let installed = ready.snapshot.map(|s| s.index);
                let applied = ready.committed_entries.last().map(|e| e.index).or(installed);
                let Some(index) = applied else { break };
                node.on_applied(index);
            }
            if node.log_bytes() > (24 * 1024).max(node.snapshot_bytes()) {
                node.compact(vec![7; self.state]);
            }
            self.nodes.insert(id, node);
            for message in sent {
                let to = message.to;
                let bytes = message.encoded_len();
                self.largest = self.largest.max(bytes);
                *self.bytes_to.entry(to).or_default() += bytes;
                let out = self.carry(id, true, now, bytes);
                let at = self.carry(to, false, out + LATENCY, bytes);
                self.flights.push((at, id, to, message));
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
        let leads = |n: &&RaftNode| n.holds_lease(self.now);
        self.nodes.values().find(leads).map(RaftNode::id)
    }

    fn propose(&mut self, bytes: usize) -> u64 {
        let leader = self.leader().expect("somebody leads");
        let node = self.nodes.get_mut(&leader).expect("it runs");
        node.propose(vec![1; bytes]).expect("it is taken").index
    }

    /// Time until all nodes stand at what is committed, and at this index at the
    /// least, ms.
    fn caught_up(&mut self, within: u64, least: u64, every: u64, change: usize) -> u64 {
        let from = self.now;
        loop {
            self.step();
            if change > 0 && self.now.is_multiple_of(every) && self.leader().is_some() {
                self.propose(change);
            }
            let most = self.nodes.values().map(RaftNode::commit_index).max().unwrap_or(0);
            // Two changes may be on their way.
            let near =
                |n: &RaftNode| n.is_current() && n.commit_index() + 2 >= most && n.commit_index() >= least;
            if self.nodes.values().all(near) {
                return self.now - from;
            }
            let at: Vec<(u64, u64)> = self
                .nodes
                .values()
                .map(|n| (n.commit_index(), n.term()))
                .collect();
            assert!(self.now - from < within, "{at:?} after {within} ms");
        }
    }
}

/// A member comes back empty over a narrow link, to a state that takes four seconds
/// on it, while changes go on: it is sent the state once, and what came meanwhile.
#[test]
fn sends_a_slow_snapshot_once() {
    let mut net = Net::new(1_000_000, 2);
    net.nodes.remove(&3);
    net.run(2000);
    let (leader, term) = (net.leader(), net.nodes[&1].term());
    net.width.insert(3, NARROW);
    net.start(3);
    net.bytes_to.clear();
    let took = net.caught_up(12_000, 0, 200, 2_000);
    let bytes = net.bytes_to[&3];
    println!("caught up in {took} ms, {bytes} bytes");
    assert!(bytes < 1_400_000, "{bytes} bytes were sent");
    assert_eq!(
        (net.leader(), net.nodes[&1].term()),
        (leader, term),
        "nothing else moved"
    );
}

/// Changes fold the log while the state is on its way: they are sent after it, not in
/// the state once more.
#[test]
fn entries_compacted_meanwhile_are_sent_as_entries() {
    let mut net = Net::new(1_000_000, 2);
    net.nodes.remove(&3);
    net.run(2000);
    for _ in 0..16 {
        net.propose(60_000);
        net.run(100);
    }
    net.width.insert(3, NARROW);
    net.start(3);
    net.bytes_to.clear();
    let took = net.caught_up(25_000, 0, 1000, 60_000);
    let (bytes, changes) = (net.bytes_to[&3], took as usize / 1000 * 60_000);
    println!("caught up in {took} ms, {bytes} bytes, {changes} of changes");
    assert!(bytes < 2_300_000 + changes, "{bytes} bytes were sent");
}

/// A change that takes seconds on every link: heartbeats pass it, nobody is deposed.
#[test]
fn large_entry_on_narrow_links_causes_no_election() {
    let mut net = Net::new(1000, 3);
    net.run(2000);
    for id in 1..=3 {
        net.width.insert(id, NARROW);
    }
    let (leader, term) = (net.leader(), net.nodes[&1].term());
    let index = net.propose(1_000_000);
    let took = net.caught_up(25_000, index, 1, 0);
    println!("taken by all in {took} ms");
    assert!(net.nodes.values().all(|n| n.commit_index() >= index));
    assert_eq!(
        (net.leader(), net.nodes[&1].term()),
        (leader, term),
        "nobody was deposed"
    );
}

/// A node without a vote, behind a narrow link, follows one voter through it all.
#[test]
fn learner_gets_a_large_snapshot_from_one_voter() {
    let mut net = Net::new(1_000_000, 3);
    net.run(2000);
    net.width.insert(9, NARROW);
    let mut node = RaftNode::new(9, PersistentState::default(), CONFIG, net.now, 9);
    node.subscribe(net.now, 2);
    net.nodes.insert(9, node);
    let from = net.now;
    while !net.nodes[&9].is_current() {
        net.step();
        let silent = net.now - net.nodes[&9].upstream().last_heard;
        assert!(silent < 1000, "it would have turned to another voter");
        assert!(net.now - from < 12_000, "never current");
    }
    println!("current in {} ms, {} bytes", net.now - from, net.bytes_to[&9]);
    assert!(net.bytes_to[&9] < 1_200_000);
}

/// Neither a state nor a change has to fit into one frame.
#[test]
fn messages_larger_than_a_frame_arrive() {
    let mut net = Net::new(20 << 20, 2);
    net.nodes.remove(&3);
    net.run(2000);
    net.start(3);
    net.largest = 0;
    let state = net.caught_up(20_000, 0, 1, 0);
    let index = net.propose(20 << 20);
    let change = net.caught_up(20_000, index, 1, 0);
    println!("state {state} ms, change {change} ms, largest {}", net.largest);
    assert!(net.nodes.values().all(|n| n.commit_index() >= index));
    assert!(net.largest < FRAME_BYTES, "{} bytes in one frame", net.largest);
}

/// The sender ends in the middle, or the receiver does and comes back: begun anew.
#[test]
fn snapshot_interrupted_by_a_restart_of_either_side_arrives() {
    for ends in [1, 2, 3] {
        let mut net = Net::new(1_000_000, 2);
        net.nodes.remove(&3);
        net.run(2000);
        net.width.insert(3, NARROW);
        net.start(3);
        net.run(2000);
        net.nodes.remove(&ends);
        net.run(200);
        net.start(ends);
        let took = net.caught_up(20_000, 0, 1, 0);
        println!("{ends} ended: caught up in {took} ms");
    }
}

/// A state that cannot be read is not taken: the node stays as it is, says so, and
/// has the next that can.
#[test]
fn unreadable_snapshot_is_not_installed() {
    let mut net = Net::new(1_000_000, 2);
    net.nodes.remove(&3);
    net.run(2000);
    net.start(3);
    let node = net.nodes.get_mut(&3).expect("it runs");
    node.set_snapshot_check(|_, _| false);
    net.run(6000);
    let node = net.nodes.get_mut(&3).expect("it runs");
    assert_eq!(
        (node.commit_index(), node.last_index(), node.is_current()),
        (0, 0, false)
    );
    assert!(
        (2..=8).contains(&node.unreadable_snapshots()),
        "{} were sent",
        node.unreadable_snapshots()
    );
    node.set_snapshot_check(|_, data| data.len() == 1_000_000);
    net.caught_up(3000, 5, 1, 0);
    assert_eq!(net.disks[&3].snapshot.data.len(), 1_000_000);
}
