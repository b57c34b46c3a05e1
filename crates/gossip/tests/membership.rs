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
struct Net {
    now: u64,
    nodes: BTreeMap<String, MembershipProtocol>,
    flights: Vec<(u64, String, String, Message)>,
    rng: SmallRng,
    loss: f64,
    incarnations: u64,
    /// Bytes sent since this was last set to 0: in all, and between regions.
    sent: (usize, usize),
}

impl Net {
    fn new(nodes: usize, loss: f64) -> Net {
        let mut net = Net {
            now: 0,
            nodes: BTreeMap::new(),
            flights: vec![],
            rng: SmallRng::seed_from_u64(3),
            loss,
            incarnations: 0,
            sent: (0, 0),
        };
        for i in 0..nodes {
            net.start(&format!("n{i}"));
        }
        net
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
            let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.flights)
                .into_iter()
                .partition(|(at, ..)| *at <= now);
            self.flights = rest;
            for (_, from, to, message) in due {
                if let Some(b) = self.nodes.get_mut(&to) {
                    b.receive(now, &from, message);
                }
            }
            let region = |b: &MembershipProtocol| b.own().region.clone();
            let regions: BTreeMap<String, String> =
                self.nodes.iter().map(|(n, b)| (n.clone(), region(b))).collect();
            for (name, b) in &mut self.nodes {
                b.tick(now);
                for Envelope { to, message } in b.take_outgoing() {
                    let bytes = message.encoded_len() + 28;
                    self.sent.0 += bytes;
                    self.sent.1 += if regions.get(&to) == Some(&b.own().region) {
                        0
                    } else {
                        bytes
                    };
                    if !self.rng.gen_bool(self.loss) {
                        self.flights.push((now + 40, name.clone(), to, message));
                    }
                }
            }
        }
    }

    fn sees(&self, who: &str, whom: &str) -> bool {
        self.nodes[who].get(whom).is_some_and(Member::is_alive)
    }

    fn all_see_all(&self) -> bool {
        self.nodes
            .keys()
            .all(|a| self.nodes.keys().all(|b| a == b || self.sees(a, b)))
    }
}

#[test]
fn all_join_through_the_seeds_and_lost_datagrams_remove_nobody() {
    let mut net = Net::new(12, 0.05);
    net.run(3000);
    assert!(net.all_see_all());
    for _ in 0..200 {
        net.run(100);
        for (a, node) in &net.nodes {
            assert!(
                node.members().count() == 11,
                "{a} has removed somebody at {}",
                net.now
            );
        }
    }
}

#[test]
fn dead_node_is_removed_and_a_restarted_one_is_known_at_once() {
    let mut net = Net::new(10, 0.0);
    net.run(3000);
    net.nodes.remove("n7");
    net.run(2500);
    let still = net.nodes.keys().filter(|n| net.sees(n, "n7")).count();
    assert_eq!(still, 0);
    net.run(3000);
    net.start("n7");
    net.run(1500);
    assert!(net.all_see_all());
}

#[test]
fn restarted_seeds_are_introduced_by_those_who_know_them() {
    let mut net = Net::new(10, 0.0);
    net.run(3000);
    for seed in ["n0", "n1", "n2", "n3", "n4", "n5"] {
        net.nodes.remove(seed);
    }
    net.run(700);
    for seed in ["n0", "n1", "n2", "n3", "n4", "n5"] {
        net.start(seed);
    }
    net.run(4000);
    assert!(net.all_see_all());
}

#[test]
fn simultaneous_updates_of_eighty_nodes_reach_all() {
    let mut net = Net::new(80, 0.02);
    net.run(3000);
    for node in net.nodes.values_mut() {
        node.update_own(|own| own.cluster = 7);
    }
    net.run(5000);
    let lacking = |net: &Net| -> usize {
        let knows = |b: &MembershipProtocol| b.members().filter(|m| m.cluster == 7).count();
        net.nodes.values().map(|b| 79 - knows(b)).sum()
    };
    assert_eq!(lacking(&net), 0);
    // And nobody talks more than it must once all is known; a lost datagram would
    // be news of a suspicion.
    net.loss = 0.0;
    net.run(3000);
    let before: usize = net.nodes.values_mut().map(|b| b.take_outgoing().len()).sum();
    assert_eq!(before, 0);
    net.run(1000);
    let big = net.flights.iter().filter(|(.., n)| n.members.len() > 1).count();
    assert_eq!(big, 0, "datagrams that still carry news");
}

/// With hundreds of nodes a start must not fill links of 2 Mbit/s, and what is
/// said when nothing happens must not grow with the nodes.
#[test]
fn three_hundred_nodes_join_and_detect_a_lost_region_at_a_bounded_cost() {
    const NODES: usize = 300;
    let mut net = Net::new(NODES, 0.01);
    let price = |net: &mut Net, ms: u64| {
        net.sent = (0, 0);
        net.run(ms);
        let per_second = |bytes: usize| bytes / NODES * 1000 / ms as usize;
        (per_second(net.sent.0), per_second(net.sent.1))
    };
    let knows = |net: &Net, of: usize| net.nodes.values().all(|b| b.members().count() + 1 == of);
    let start = price(&mut net, 7000);
    assert!(knows(&net, NODES), "all have met");
    assert!(
        start.0 < 30_000 && start.1 < 12_000,
        "bytes a node and second: {start:?}"
    );
    price(&mut net, 6000);
    let calm = price(&mut net, 2000);
    assert!(calm.0 < 4000, "bytes a node and second: {calm:?}");
    net.nodes.retain(|_, b| b.own().region != "region-1");
    let loss = price(&mut net, 5000);
    let left = net
        .nodes
        .values()
        .map(|b| b.alive().filter(|m| m.region == "region-1").count());
    assert!(left.max() <= Some(15), "lost nodes that pass for alive");
    assert!(loss.0 < 30_000, "bytes a node and second: {loss:?}");
    net.run(6000);
    assert!(knows(&net, NODES * 2 / 3), "the loss is known");
}

/// A node that knows some others, and its first probe: of whom, its number.
fn probing(seed: u64, others: &[&str]) -> (MembershipProtocol, String, u64) {
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
    panic!("nobody was probed");
}

fn ack(sequence: u64) -> Message {
    Message {
        message_type: MessageType::Ack as i32,
        sequence,
        ..Default::default()
    }
}

/// Whether a probed node is taken for alive once its time is over.
fn passes(mut node: MembershipProtocol, target: &str) -> bool {
    for now in 400..400 + 2 * CONFIG.probe_interval_ms {
        node.tick(now);
        node.take_outgoing();
    }
    node.get(target).is_some_and(Member::is_alive)
}

#[test]
fn ack_counts_only_for_the_process_that_probed_and_from_the_probed_node() {
    let (_, before, late) = probing(1, &["x"]);
    assert_eq!(before, "x");
    // The node starts anew; the ack to the process before it comes now.
    let (mut node, target, sequence) = probing(2, &["y"]);
    node.receive(10, "x", ack(late));
    node.receive(10, "y", ack(late));
    assert!(!passes(node, &target), "an ack to the process before");
    // An ack with the right number from somebody else.
    let (mut node, target, _) = probing(2, &["y"]);
    node.receive(10, "x", ack(sequence));
    assert_eq!(node.unmatched_acks(), 1);
    assert!(!passes(node, &target), "an ack of another node");
    let (mut node, target, sequence) = probing(2, &["y"]);
    node.receive(10, "y", ack(sequence));
    assert_eq!(node.unmatched_acks(), 0);
    assert!(passes(node, &target));
}

#[test]
fn relayed_ack_must_come_from_the_target() {
    let (mut node, ..) = probing(1, &["x", "y"]);
    let ask = Message {
        message_type: MessageType::PingRequest as i32,
        sequence: 77,
        target: "y".into(),
        ..Default::default()
    };
    node.receive(10, "x", ask);
    let out = node.take_outgoing();
    let probe = out
        .iter()
        .find(|e| e.to == "y" && e.message.message_type == MessageType::Ping as i32);
    let sequence = probe.map(|e| e.message.sequence).expect("a probe for another");
    let relayed = |node: &mut MembershipProtocol| {
        node.take_outgoing()
            .iter()
            .any(|e| e.to == "x" && e.message.sequence == 77)
    };
    node.receive(20, "z", ack(sequence));
    assert!(!relayed(&mut node), "nobody asked z");
    node.receive(20, "y", ack(sequence));
    assert!(relayed(&mut node));
}
