//! Nodes on a simulated network that loses datagrams.

use gossip::{Config, Envelope, Member, MembershipProtocol, Message, MessageType};
use prost::Message as _;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const CONFIG: Config = Config {
    probe_interval_ms: 400,
    probe_timeout_ms: 200,
    suspect_after_ms: 500,
    indirect_probes: 3,
    suspicion_timeout_ms: 1800,
    dead_retention_ms: 20_000,
    retransmits: 5,
    message_members: 6,
    join_interval_ms: 300,
    rejoin_interval_ms: 3000,
    exchange_interval_ms: 600,
};

/// Nodes on a simulated network that loses datagrams.
struct Network {
    now: u64,
    nodes: BTreeMap<String, MembershipProtocol>,
    in_flight: Vec<(u64, String, String, Message)>,
    rng: SmallRng,
    loss: f64,
    incarnations: u64,
    /// Bytes sent since this was last set to 0: in total, and between regions.
    sent: (usize, usize),
}

impl Network {
    fn new(nodes: usize, loss: f64) -> Network {
        let mut network = Network {
            now: 0,
            nodes: BTreeMap::new(),
            in_flight: vec![],
            rng: SmallRng::seed_from_u64(3),
            loss,
            incarnations: 0,
            sent: (0, 0),
        };
        for i in 0..nodes {
            network.start(&format!("n{i}"));
        }
        network
    }

    fn start(&mut self, name: &str) {
        self.incarnations += 1;
        let own = Member {
            address: name.into(),
            id: self.incarnations,
            incarnation: self.now + 1,
            name: format!("edge-zone-a-{name}"),
            zone: "zone-a".into(),
            region: format!("region-{}", self.incarnations % 3),
            client_address: "10.11.12.13:1234".into(),
            has_disk: self.incarnations <= 3,
            ..Default::default()
        };
        let seeds = vec!["n0".to_string(), "n1".to_string(), "n2".to_string()];
        let node = MembershipProtocol::new(own, seeds, CONFIG, self.now, self.incarnations);
        self.nodes.insert(name.into(), node);
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 50;
            let now = self.now;
            let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|(at, ..)| *at <= now);
            self.in_flight = rest;
            for (_, from, to, message) in due {
                if let Some(b) = self.nodes.get_mut(&to) {
                    b.receive(now, &from, message);
                }
            }
            let region = |b: &MembershipProtocol| b.own_member().region.clone();
            let regions: BTreeMap<String, String> =
                self.nodes.iter().map(|(n, b)| (n.clone(), region(b))).collect();
            for (name, b) in &mut self.nodes {
                b.tick(now);
                for Envelope { to, message } in b.take_outgoing() {
                    let bytes = message.encoded_len() + 28;
                    self.sent.0 += bytes;
                    self.sent.1 += if regions.get(&to) == Some(&b.own_member().region) {
                        0
                    } else {
                        bytes
                    };
                    if !self.rng.gen_bool(self.loss) {
                        self.in_flight.push((now + 40, name.clone(), to, message));
                    }
                }
            }
        }
    }

    fn sees_alive(&self, who: &str, whom: &str) -> bool {
        self.nodes[who].get(whom).is_some_and(Member::is_alive)
    }

    fn all_see_all_alive(&self) -> bool {
        self.nodes
            .keys()
            .all(|a| self.nodes.keys().all(|b| a == b || self.sees_alive(a, b)))
    }
}

#[test]
fn all_nodes_join_through_the_seeds_and_lost_datagrams_remove_no_node() {
    let mut network = Network::new(12, 0.05);
    network.run(3000);
    assert!(network.all_see_all_alive());
    for _ in 0..200 {
        network.run(100);
        for (a, node) in &network.nodes {
            assert!(
                node.members().count() == 11,
                "{a} has removed a node at {}",
                network.now
            );
        }
    }
}

#[test]
fn ended_node_is_removed_and_known_again_soon_after_a_restart() {
    let mut network = Network::new(10, 0.0);
    network.run(3000);
    network.nodes.remove("n7");
    network.run(2500);
    let nodes_that_know_it = network
        .nodes
        .keys()
        .filter(|n| network.sees_alive(n, "n7"))
        .count();
    assert_eq!(nodes_that_know_it, 0);
    network.run(3000);
    network.start("n7");
    network.run(1500);
    assert!(network.all_see_all_alive());
}

#[test]
fn restarted_seeds_are_introduced_to_the_other_nodes() {
    let mut network = Network::new(10, 0.0);
    network.run(3000);
    for seed in ["n0", "n1", "n2", "n3", "n4", "n5"] {
        network.nodes.remove(seed);
    }
    network.run(700);
    for seed in ["n0", "n1", "n2", "n3", "n4", "n5"] {
        network.start(seed);
    }
    network.run(4000);
    assert!(network.all_see_all_alive());
}

#[test]
fn simultaneous_updates_of_eighty_nodes_reach_all() {
    let mut network = Network::new(80, 0.02);
    network.run(3000);
    for node in network.nodes.values_mut() {
        node.update_own(|own| own.cluster = 7);
    }
    network.run(5000);
    let missing_updates = |network: &Network| -> usize {
        let updated_members = |b: &MembershipProtocol| b.members().filter(|m| m.cluster == 7).count();
        network.nodes.values().map(|b| 79 - updated_members(b)).sum()
    };
    assert_eq!(missing_updates(&network), 0);
    // Once all updates are known, messages carry no more entries than necessary. No datagram is
    // lost here, since that would cause updates about a suspicion.
    network.loss = 0.0;
    network.run(3000);
    let before: usize = network.nodes.values_mut().map(|b| b.take_outgoing().len()).sum();
    assert_eq!(before, 0);
    network.run(1000);
    let messages_with_updates = network
        .in_flight
        .iter()
        .filter(|(.., n)| n.members.len() > 1)
        .count();
    assert_eq!(messages_with_updates, 0, "datagrams still carry updates");
}

/// Guards against a start of hundreds of nodes that fills links of 2 Mbit/s, and against idle
/// traffic per node that grows with the number of nodes.
#[test]
fn three_hundred_nodes_join_and_detect_a_lost_region_at_a_bounded_cost() {
    const NODES: usize = 300;
    let mut network = Network::new(NODES, 0.01);
    let bytes_per_node_and_second = |network: &mut Network, ms: u64| {
        network.sent = (0, 0);
        network.run(ms);
        let per_second = |bytes: usize| bytes / NODES * 1000 / ms as usize;
        (per_second(network.sent.0), per_second(network.sent.1))
    };
    let all_know = |network: &Network, node_count: usize| {
        network
            .nodes
            .values()
            .all(|b| b.members().count() + 1 == node_count)
    };
    let start = bytes_per_node_and_second(&mut network, 7000);
    assert!(all_know(&network, NODES), "every node must know all others");
    assert!(
        start.0 < 30_000 && start.1 < 12_000,
        "bytes per node and second: {start:?}"
    );
    bytes_per_node_and_second(&mut network, 6000);
    let idle = bytes_per_node_and_second(&mut network, 2000);
    assert!(idle.0 < 4000, "bytes per node and second: {idle:?}");
    network.nodes.retain(|_, b| b.own_member().region != "region-1");
    let loss = bytes_per_node_and_second(&mut network, 5000);
    let still_alive = network
        .nodes
        .values()
        .map(|b| b.alive_members().filter(|m| m.region == "region-1").count());
    assert!(still_alive.max() <= Some(15), "lost nodes still count as alive");
    assert!(loss.0 < 30_000, "bytes per node and second: {loss:?}");
    network.run(6000);
    assert!(
        all_know(&network, NODES * 2 / 3),
        "every node must know of the loss"
    );
}

/// Returns a node that knows the nodes `others` and has sent its first probe, with the target and
/// the sequence number of that probe.
fn node_with_probe(seed: u64, others: &[&str]) -> (MembershipProtocol, String, u64) {
    let own = Member {
        address: "me".into(),
        id: 1,
        incarnation: 1,
        ..Default::default()
    };
    let mut node = MembershipProtocol::new(own, vec![], CONFIG, 0, seed);
    let members = others.iter().map(|address| Member {
        address: address.to_string(),
        id: 2,
        incarnation: 1,
        ..Default::default()
    });
    let update = Message {
        message_type: MessageType::Update as i32,
        members: members.collect(),
        ..Default::default()
    };
    node.receive(0, others[0], update);
    for now in 1..=2 * CONFIG.probe_interval_ms {
        node.tick(now);
        for Envelope { to, message } in node.take_outgoing() {
            if message.message_type == MessageType::Ping as i32 {
                return (node, to, message.sequence);
            }
        }
    }
    panic!("no node was probed");
}

fn ack(sequence: u64) -> Message {
    Message {
        message_type: MessageType::Ack as i32,
        sequence,
        ..Default::default()
    }
}

/// Returns whether the target counts as alive after the time for its probe is over.
fn stays_alive(mut node: MembershipProtocol, target: &str) -> bool {
    for now in 400..400 + 2 * CONFIG.probe_interval_ms {
        node.tick(now);
        node.take_outgoing();
    }
    node.get(target).is_some_and(Member::is_alive)
}

#[test]
fn ack_counts_only_for_a_probe_of_this_process_and_from_the_probed_node() {
    let (_, old_target, old_sequence) = node_with_probe(1, &["x"]);
    assert_eq!(old_target, "x");
    // The node restarts, and the ack for the earlier process arrives now.
    let (mut node, target, sequence) = node_with_probe(2, &["y"]);
    node.receive(10, "x", ack(old_sequence));
    node.receive(10, "y", ack(old_sequence));
    assert!(
        !stays_alive(node, &target),
        "an ack for the earlier process was accepted"
    );
    // An ack with the right sequence number from another node.
    let (mut node, target, _) = node_with_probe(2, &["y"]);
    node.receive(10, "x", ack(sequence));
    assert_eq!(node.unmatched_acks(), 1);
    assert!(
        !stays_alive(node, &target),
        "an ack from another node was accepted"
    );
    let (mut node, target, sequence) = node_with_probe(2, &["y"]);
    node.receive(10, "y", ack(sequence));
    assert_eq!(node.unmatched_acks(), 0);
    assert!(stays_alive(node, &target));
}

#[test]
fn relayed_ack_must_come_from_the_target() {
    let (mut node, ..) = node_with_probe(1, &["x", "y"]);
    let request = Message {
        message_type: MessageType::PingRequest as i32,
        sequence: 77,
        target: "y".into(),
        ..Default::default()
    };
    node.receive(10, "x", request);
    let outgoing = node.take_outgoing();
    let probe = outgoing
        .iter()
        .find(|e| e.to == "y" && e.message.message_type == MessageType::Ping as i32);
    let sequence = probe
        .map(|e| e.message.sequence)
        .expect("a probe on behalf of another node");
    let ack_was_relayed = |node: &mut MembershipProtocol| {
        node.take_outgoing()
            .iter()
            .any(|e| e.to == "x" && e.message.sequence == 77)
    };
    node.receive(20, "z", ack(sequence));
    assert!(!ack_was_relayed(&mut node), "z was not the target");
    node.receive(20, "y", ack(sequence));
    assert!(ack_was_relayed(&mut node));
}
