//! Min-cost flow by successive shortest paths. The networks here have a few dozen nodes, so a plain
//! Bellman-Ford search is fast enough.

#[derive(Clone, Debug)]
struct Edge {
    to: usize,
    /// Remaining capacity.
    residual: i64,
    cost: i64,
}

/// A flow network, and the flow on it once it is solved.
#[derive(Clone, Debug, Default)]
pub struct Network {
    edges: Vec<Edge>,
    /// Indices of the outgoing edges by node. The index of an edge's reverse differs in the lowest
    /// bit.
    outgoing: Vec<Vec<usize>>,
}

/// A flow from source to sink.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Solution {
    /// Units of flow.
    pub amount: i64,
    /// Total cost: the sum over the edges of units times cost.
    pub cost: i64,
}

/// A path of edges, and the sum of their costs.
struct Path {
    edges: Vec<usize>,
    cost: i64,
}

impl Network {
    /// Creates a network of `nodes` nodes without edges.
    pub fn new(nodes: usize) -> Network {
        Network {
            edges: Vec::new(),
            outgoing: vec![Vec::new(); nodes],
        }
    }

    /// Adds a node and returns its number.
    pub fn add_node(&mut self) -> usize {
        self.outgoing.push(Vec::new());
        self.outgoing.len() - 1
    }

    /// Adds an edge and returns its number.
    pub fn add_edge(&mut self, from: usize, to: usize, capacity: i64, cost: i64) -> usize {
        let number = self.edges.len();
        let residual = capacity;
        self.edges.push(Edge { to, residual, cost });
        self.edges.push(Edge {
            to: from,
            residual: 0,
            cost: -cost,
        });
        self.outgoing[from].push(number);
        self.outgoing[to].push(number + 1);
        number
    }

    /// Returns the flow on an edge.
    pub fn flow(&self, edge: usize) -> i64 {
        self.edges[edge ^ 1].residual
    }

    /// Sends as much flow as possible from the source to the sink at the lowest cost.
    pub fn solve(&mut self, source: usize, sink: usize) -> Solution {
        let mut solution = Solution { amount: 0, cost: 0 };
        while let Some(path) = self.shortest_path(source, sink) {
            let residuals = path.edges.iter().map(|edge| self.edges[*edge].residual);
            let amount = residuals.min().unwrap_or(0);
            for edge in path.edges {
                self.edges[edge].residual -= amount;
                self.edges[edge ^ 1].residual += amount;
            }
            solution.amount += amount;
            solution.cost += amount * path.cost;
        }
        solution
    }

    /// Returns the cheapest path with remaining capacity.
    fn shortest_path(&self, source: usize, sink: usize) -> Option<Path> {
        let mut distance = vec![i64::MAX; self.outgoing.len()];
        let mut incoming_edge = vec![usize::MAX; self.outgoing.len()];
        distance[source] = 0;
        while self.relax(&mut distance, &mut incoming_edge) {}
        if distance[sink] == i64::MAX {
            return None;
        }
        let mut edges = Vec::new();
        let mut node = sink;
        while node != source {
            edges.push(incoming_edge[node]);
            node = self.edges[incoming_edge[node] ^ 1].to;
        }
        edges.reverse();
        Some(Path {
            edges,
            cost: distance[sink],
        })
    }

    /// Performs one Bellman-Ford pass over all edges. Returns whether any distance decreased.
    fn relax(&self, distance: &mut [i64], incoming_edge: &mut [usize]) -> bool {
        let mut changed = false;
        for from in 0..self.outgoing.len() {
            if distance[from] == i64::MAX {
                continue;
            }
            for &number in &self.outgoing[from] {
                let edge = &self.edges[number];
                if edge.residual > 0 && distance[from] + edge.cost < distance[edge.to] {
                    distance[edge.to] = distance[from] + edge.cost;
                    incoming_edge[edge.to] = number;
                    changed = true;
                }
            }
        }
        changed
    }
}
