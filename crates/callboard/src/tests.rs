use super::*;
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
    exchange_every: 1000,
};

/// Boards on a simulated network that loses datagrams.
struct Net {
    now: u64,
    boards: BTreeMap<String, Board>,
    flights: Vec<(u64, String, String, Notice)>,
    rng: SmallRng,
    loss: f64,
    lives: u64,
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
            region: format!("r{}", self.lives % 3),
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
            for (name, b) in &mut self.boards {
                b.tick(now);
                for (to, notice) in b.take_out() {
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
    // And nobody talks more than it must once all is known.
    let before: usize = net.boards.values_mut().map(|b| b.take_out().len()).sum();
    assert_eq!(before, 0);
    net.run(1000);
    let big = net.flights.iter().filter(|(.., n)| n.members.len() > 1).count();
    assert_eq!(big, 0, "datagrams that still carry news");
}
