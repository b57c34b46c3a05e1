//! Min-cost flow by successive shortest paths. The networks here have a few
//! dozen nodes, so a plain Bellman-Ford search is quick enough.

#[derive(Clone, Debug)]
struct Edge {
    to: usize,
    room: i64,
    cost: i64,
}

/// A network under construction, and then with its flow.
#[derive(Clone, Debug, Default)]
pub struct Network {
    edges: Vec<Edge>,
    /// Edges by node; an edge's partner is its number with the last bit flipped.
    out: Vec<Vec<usize>>,
}

impl Network {
    pub fn new(nodes: usize) -> Network {
        Network {
            edges: Vec::new(),
            out: vec![Vec::new(); nodes],
        }
    }

    pub fn node(&mut self) -> usize {
        self.out.push(Vec::new());
        self.out.len() - 1
    }

    /// Adds an edge and returns its number.
    pub fn edge(&mut self, from: usize, to: usize, room: i64, cost: i64) -> usize {
        let number = self.edges.len();
        self.edges.push(Edge { to, room, cost });
        self.edges.push(Edge {
            to: from,
            room: 0,
            cost: -cost,
        });
        self.out[from].push(number);
        self.out[to].push(number + 1);
        number
    }

    /// The flow on an edge.
    pub fn flow(&self, edge: usize) -> i64 {
        self.edges[edge ^ 1].room
    }

    /// Sends as much as possible at the least cost; how much, and the cost.
    pub fn solve(&mut self, source: usize, sink: usize) -> (i64, i64) {
        let (mut total, mut cost) = (0, 0);
        while let Some((path, distance)) = self.shortest(source, sink) {
            let amount = path.iter().map(|e| self.edges[*e].room).min().unwrap_or(0);
            for e in path {
                self.edges[e].room -= amount;
                self.edges[e ^ 1].room += amount;
            }
            total += amount;
            cost += amount * distance;
        }
        (total, cost)
    }

    fn shortest(&self, source: usize, sink: usize) -> Option<(Vec<usize>, i64)> {
        let mut distance = vec![i64::MAX; self.out.len()];
        let mut via = vec![usize::MAX; self.out.len()];
        distance[source] = 0;
        loop {
            let mut changed = false;
            for from in 0..self.out.len() {
                if distance[from] == i64::MAX {
                    continue;
                }
                for &e in &self.out[from] {
                    let edge = &self.edges[e];
                    if edge.room > 0 && distance[from] + edge.cost < distance[edge.to] {
                        distance[edge.to] = distance[from] + edge.cost;
                        via[edge.to] = e;
                        changed = true;
                    }
                }
            }
            if !changed {
                break;
            }
        }
        if distance[sink] == i64::MAX {
            return None;
        }
        let mut path = Vec::new();
        let mut at = sink;
        while at != source {
            path.push(via[at]);
            at = self.edges[via[at] ^ 1].to;
        }
        path.reverse();
        Some((path, distance[sink]))
    }
}

#[cfg(test)]
mod tests {
    use super::Network;

    /// The least cost over all ways to send `want` units, found by trying all.
    fn brute(supply: &[i64], room: &[i64], cost: &[[i64; 2]]) -> (i64, i64) {
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
        best
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
            let mut net = Network::new(7);
            for g in 0..3 {
                net.edge(0, 1 + g, supply[g], 0);
                for (s, cost) in cost[g].iter().enumerate() {
                    net.edge(1 + g, 4 + s, i64::MAX / 4, *cost);
                }
            }
            for (s, room) in room.iter().enumerate() {
                net.edge(4 + s, 6, *room, 0);
            }
            assert_eq!(net.solve(0, 6), brute(&supply, &room, &cost));
        }
    }
}
