//! Min-cost flow compared with an exhaustive search.

use placement::{Network, Solution};

/// Returns the largest flow and its lowest cost, found by an exhaustive search.
fn brute_force(supply: &[i64], site_capacity: &[i64], cost: &[[i64; 2]]) -> Solution {
    let mut best = (0, 0);
    let mut partial_flows = vec![(0usize, [0i64; 2], 0i64, 0i64)];
    while let Some((group, used, sent, total_cost)) = partial_flows.pop() {
        if group == supply.len() {
            if sent > best.0 || sent == best.0 && total_cost < best.1 {
                best = (sent, total_cost);
            }
            continue;
        }
        for a in 0..=supply[group] {
            for b in 0..=supply[group] - a {
                if used[0] + a <= site_capacity[0] && used[1] + b <= site_capacity[1] {
                    let total_cost = total_cost + a * cost[group][0] + b * cost[group][1];
                    partial_flows.push((group + 1, [used[0] + a, used[1] + b], sent + a + b, total_cost));
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
fn min_cost_flow_agrees_with_exhaustive_search() {
    let mut state = 7u64;
    let mut next = |n: u64| {
        state = state
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        ((state >> 33) % n) as i64
    };
    for _ in 0..60 {
        let supply = [next(5), next(5), next(4)];
        let site_capacity = [next(7), next(7)];
        let cost = [[next(9), next(9)], [next(9), next(9)], [next(9), next(9)]];
        let mut network = Network::new(7);
        for g in 0..3 {
            network.add_edge(0, 1 + g, supply[g], 0);
            for (s, cost) in cost[g].iter().enumerate() {
                network.add_edge(1 + g, 4 + s, i64::MAX / 4, *cost);
            }
        }
        for (s, site_capacity) in site_capacity.iter().enumerate() {
            network.add_edge(4 + s, 6, *site_capacity, 0);
        }
        assert_eq!(network.solve(0, 6), brute_force(&supply, &site_capacity, &cost));
    }
}
