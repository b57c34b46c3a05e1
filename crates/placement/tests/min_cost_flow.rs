//! Min-cost flow against a search of all flows.

use placement::{Network, Solution};

/// The least cost over all ways to send `want` units, found by trying all.
fn brute_force(supply: &[i64], room: &[i64], cost: &[[i64; 2]]) -> Solution {
    let mut best = (0, 0);
    let mut tries = vec![(0usize, [0i64; 2], 0i64, 0i64)];
    while let Some((at, used, sent, paid)) = tries.pop() {
        if at == supply.len() {
            if sent > best.0 || sent == best.0 && paid < best.1 {
                best = (sent, paid);
            }
            continue;
        }
        for a in 0..=supply[at] {
            for b in 0..=supply[at] - a {
                if used[0] + a <= room[0] && used[1] + b <= room[1] {
                    let paid = paid + a * cost[at][0] + b * cost[at][1];
                    tries.push((at + 1, [used[0] + a, used[1] + b], sent + a + b, paid));
                }
            }
        }
    }
    Solution {
        amount: best.0,
        cost: best.1,
    }
}

#[test]
fn agrees_with_trying_everything() {
    let mut state = 7u64;
    let mut next = |n: u64| {
        state = state
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        ((state >> 33) % n) as i64
    };
    for _ in 0..60 {
        let supply = [next(5), next(5), next(4)];
        let room = [next(7), next(7)];
        let cost = [[next(9), next(9)], [next(9), next(9)], [next(9), next(9)]];
        let mut network = Network::new(7);
        for g in 0..3 {
            network.add_edge(0, 1 + g, supply[g], 0);
            for (s, cost) in cost[g].iter().enumerate() {
                network.add_edge(1 + g, 4 + s, i64::MAX / 4, *cost);
            }
        }
        for (s, room) in room.iter().enumerate() {
            network.add_edge(4 + s, 6, *room, 0);
        }
        assert_eq!(network.solve(0, 6), brute_force(&supply, &room, &cost));
    }
}
