use super::*;
use prost::Message as _;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const TIMING: Timing = Timing {
    probe_every: 400,
    probe_wait: 200,
    probe_limit: 500,
    helpers: 3,
    suspect: 1800,
    forget: 20_000,
    gossip_times: 5,
    gossip_members: 6,
    join_every: 300,
    rejoin_every: 3000,
    exchange_every: 600,
};

/// Boards on a simulated network that loses datagrams.
struct Net {
    now: u64,
    boards: BTreeMap<String, Board>,
    flights: Vec<(u64, String, String, Notice)>,
    rng: SmallRng,
    loss: f64,
    lives: u64,
    /// Bytes sent since this was last set to 0: in all, and between regions.
    sent: (usize, usize),
}

impl Net {
    fn new(nodes: usize, loss: f64) -> Net {
        let mut net = Net {
            now: 0,
            boards: BTreeMap::new(),
            flights: vec![],
            rng: SmallRng::seed_from_u64(3),
            loss,
            lives: 0,
            sent: (0, 0),
        };
        for i in 0..nodes {
            net.start(&format!("n{i}"));
        }
        net
    }

    fn start(&mut self, name: &str) {
        self.lives += 1;
        let me = Member {
            address: name.into(),
            id: self.lives,
            incarnation: self.now + 1,
            name: format!("edge-zone-a-{name}"),
            zone: "zone-a".into(),
            region: format!("region-{}", self.lives % 3),
            front: "10.11.12.13:1234".into(),
            disk: self.lives <= 3,
            ..Default::default()
        };
        let seeds = vec!["n0".to_string(), "n1".to_string(), "n2".to_string()];
        let board = Board::new(me, seeds, TIMING, self.now, self.lives);
        self.boards.insert(name.into(), board);
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
            for (_, from, to, notice) in due {
                if let Some(b) = self.boards.get_mut(&to) {
                    b.receive(now, &from, notice);
                }
            }
            let region = |b: &Board| b.me().region.clone();
            let regions: BTreeMap<String, String> =
                self.boards.iter().map(|(n, b)| (n.clone(), region(b))).collect();
            for (name, b) in &mut self.boards {
                b.tick(now);
                for (to, notice) in b.take_out() {
                    let bytes = notice.encoded_len() + 28;
                    self.sent.0 += bytes;
                    self.sent.1 += if regions.get(&to) == Some(&b.me().region) {
                        0
                    } else {
                        bytes
                    };
                    if !self.rng.gen_bool(self.loss) {
                        self.flights.push((now + 40, name.clone(), to, notice));
                    }
                }
            }
        }
    }

    fn sees(&self, who: &str, whom: &str) -> bool {
        self.boards[who].get(whom).is_some_and(Member::is_alive)
    }

    fn all_see_all(&self) -> bool {
        self.boards
            .keys()
            .all(|a| self.boards.keys().all(|b| a == b || self.sees(a, b)))
    }
}

#[test]
fn all_meet_through_the_seeds_and_lost_datagrams_remove_nobody() {
    let mut net = Net::new(12, 0.05);
    net.run(3000);
    assert!(net.all_see_all());
    for _ in 0..200 {
        net.run(100);
        for (a, board) in &net.boards {
            assert!(
                board.members().count() == 11,
                "{a} has removed somebody at {}",
                net.now
            );
        }
    }
}

#[test]
fn a_dead_node_is_suspected_and_removed_and_a_new_life_is_known_at_once() {
    let mut net = Net::new(10, 0.0);
    net.run(3000);
    net.boards.remove("n7");
    net.run(2500);
    let still = net.boards.keys().filter(|n| net.sees(n, "n7")).count();
    assert_eq!(still, 0);
    net.run(3000);
    net.start("n7");
    net.run(1500);
    assert!(net.all_see_all());
}

#[test]
fn restarted_seeds_are_introduced_to_those_who_know_them() {
    let mut net = Net::new(10, 0.0);
    net.run(3000);
    for seed in ["n0", "n1", "n2", "n3", "n4", "n5"] {
        net.boards.remove(seed);
    }
    net.run(700);
    for seed in ["n0", "n1", "n2", "n3", "n4", "n5"] {
        net.start(seed);
    }
    net.run(4000);
    assert!(net.all_see_all());
}

#[test]
fn what_eighty_nodes_say_at_once_reaches_them_all() {
    let mut net = Net::new(80, 0.02);
    net.run(3000);
    for board in net.boards.values_mut() {
        board.update_me(|me| me.cluster = 7);
    }
    net.run(5000);
    let lacking = |net: &Net| -> usize {
        let knows = |b: &Board| b.members().filter(|m| m.cluster == 7).count();
        net.boards.values().map(|b| 79 - knows(b)).sum()
    };
    assert_eq!(lacking(&net), 0);
    // And nobody talks more than it must once all is known; a lost datagram would
    // be news of a suspicion.
    net.loss = 0.0;
    net.run(3000);
    let before: usize = net.boards.values_mut().map(|b| b.take_out().len()).sum();
    assert_eq!(before, 0);
    net.run(1000);
    let big = net.flights.iter().filter(|(.., n)| n.members.len() > 1).count();
    assert_eq!(big, 0, "datagrams that still carry news");
}

/// With hundreds of nodes a start must not fill links of 2 Mbit/s, and what is
/// said when nothing happens must not grow with the nodes.
#[test]
fn three_hundred_nodes_meet_and_notice_a_lost_region_at_a_bounded_price() {
    const NODES: usize = 300;
    let mut net = Net::new(NODES, 0.01);
    let price = |net: &mut Net, ms: u64| {
        net.sent = (0, 0);
        net.run(ms);
        let per_second = |bytes: usize| bytes / NODES * 1000 / ms as usize;
        (per_second(net.sent.0), per_second(net.sent.1))
    };
    let knows = |net: &Net, of: usize| net.boards.values().all(|b| b.members().count() + 1 == of);
    let start = price(&mut net, 7000);
    assert!(knows(&net, NODES), "all have met");
    assert!(
        start.0 < 30_000 && start.1 < 12_000,
        "bytes a node and second: {start:?}"
    );
    price(&mut net, 6000);
    let calm = price(&mut net, 2000);
    assert!(calm.0 < 4000, "bytes a node and second: {calm:?}");
    net.boards.retain(|_, b| b.me().region != "region-1");
    let loss = price(&mut net, 5000);
    let left = net
        .boards
        .values()
        .map(|b| b.alive().filter(|m| m.region == "region-1").count());
    assert!(left.max() <= Some(15), "lost nodes that pass for alive");
    assert!(loss.0 < 30_000, "bytes a node and second: {loss:?}");
    net.run(6000);
    assert!(knows(&net, NODES * 2 / 3), "the loss is known");
}

/// A board that knows some others, and its first probe: of whom, its number.
fn probing(seed: u64, others: &[&str]) -> (Board, String, u64) {
    let me = Member {
        address: "me".into(),
        id: 1,
        incarnation: 1,
        ..Default::default()
    };
    let mut board = Board::new(me, vec![], TIMING, 0, seed);
    let members = others.iter().map(|address| Member {
        address: address.to_string(),
        id: 2,
        incarnation: 1,
        ..Default::default()
    });
    let news = Notice {
        kind: NoticeKind::News as i32,
        members: members.collect(),
        ..Default::default()
    };
    board.receive(0, others[0], news);
    for now in 1..=2 * TIMING.probe_every {
        board.tick(now);
        for (to, notice) in board.take_out() {
            if notice.kind == NoticeKind::Probe as i32 {
                return (board, to, notice.seq);
            }
        }
    }
    panic!("nobody was probed");
}

fn ack(seq: u64) -> Notice {
    Notice {
        kind: NoticeKind::Ack as i32,
        seq,
        ..Default::default()
    }
}

/// Whether a probed node is taken for alive once its time is over.
fn passes(mut board: Board, target: &str) -> bool {
    for now in 400..400 + 2 * TIMING.probe_every {
        board.tick(now);
        board.take_out();
    }
    board.get(target).is_some_and(Member::is_alive)
}

#[test]
fn an_ack_counts_only_for_the_life_that_probed_and_from_the_node_that_was_probed() {
    let (_, before, late) = probing(1, &["x"]);
    assert_eq!(before, "x");
    // The node starts anew; the ack to its life before comes now.
    let (mut board, target, seq) = probing(2, &["y"]);
    board.receive(10, "x", ack(late));
    board.receive(10, "y", ack(late));
    assert!(!passes(board, &target), "an ack to the life before");
    // An ack with the right number from somebody else.
    let (mut board, target, _) = probing(2, &["y"]);
    board.receive(10, "x", ack(seq));
    assert_eq!(board.unknown_acks(), 1);
    assert!(!passes(board, &target), "an ack of another node");
    let (mut board, target, seq) = probing(2, &["y"]);
    board.receive(10, "y", ack(seq));
    assert_eq!(board.unknown_acks(), 0);
    assert!(passes(board, &target));
}

#[test]
fn an_ack_for_another_node_comes_from_the_one_it_was_asked_for() {
    let (mut board, ..) = probing(1, &["x", "y"]);
    let ask = Notice {
        kind: NoticeKind::ProbeFor as i32,
        seq: 77,
        target: "y".into(),
        ..Default::default()
    };
    board.receive(10, "x", ask);
    let out = board.take_out();
    let probe = out
        .iter()
        .find(|(to, n)| to == "y" && n.kind == NoticeKind::Probe as i32);
    let seq = probe.map(|(_, n)| n.seq).expect("a probe for another");
    let relayed = |board: &mut Board| board.take_out().iter().any(|(to, n)| to == "x" && n.seq == 77);
    board.receive(20, "z", ack(seq));
    assert!(!relayed(&mut board), "nobody asked z");
    board.receive(20, "y", ack(seq));
    assert!(relayed(&mut board));
}
