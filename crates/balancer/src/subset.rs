//! Which workers this node uses, and with how many connections to each, so
//! that all nodes together stay within what a worker accepts. Every node works
//! this out alone from the same lists; windows on a ring keep the shares even
//! and move little when workers or nodes come and go.

use config::constants as c;
use protocol::Worker;
use std::sync::Arc;

/// Where this node stands among the nodes that take clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Locality {
    /// Nodes that take clients, this one included.
    pub nodes: usize,
    /// This node's number among them, from 0.
    pub number: usize,
    /// Nodes of its zone, this one included.
    pub nodes_in_zone: usize,
    /// This node's number among those, from 0.
    pub number_in_zone: usize,
}

/// A worker of a subset.
#[derive(Clone, Debug)]
pub struct Member {
    /// The worker.
    pub worker: Arc<Worker>,
    /// How many connections this node may have to it.
    pub connections: u32,
}

/// The workers of a service that this node may use.
#[derive(Clone, Debug, Default)]
pub struct Subset {
    /// The workers.
    pub members: Vec<Member>,
    /// How many nodes of its zone share a worker of this node's zone.
    pub sharing_nodes: f64,
}

impl Subset {
    /// `workers` are those of one service, in the order of their names. `limit` is the number of
    /// connections that each of them takes.
    pub fn new(
        workers: &[Arc<Worker>],
        zone: &str,
        limit: u32,
        is_partitioned: bool,
        locality: Locality,
    ) -> Subset {
        let all_nodes = locality.nodes.max(1);
        let connections = limit / (all_nodes as u32 + 1);
        let is_scarce = connections < c::MIN_CONNECTIONS_PER_WORKER;
        if is_partitioned || !is_scarce && workers.len() <= c::SUBSET_THRESHOLD {
            return Subset::of_all(workers, connections.max(1), locality);
        }
        let mut zones: Vec<&str> = workers.iter().map(|w| w.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        let mut subset = Subset {
            members: Vec::new(),
            sharing_nodes: 1.0,
        };
        for other_zone in zones {
            let candidates: Vec<Arc<Worker>> = workers
                .iter()
                .filter(|w| w.zone == other_zone && !w.draining)
                .cloned()
                .collect();
            if candidates.is_empty() {
                continue;
            }
            let share = ZoneShare {
                is_local: other_zone == zone,
                is_scarce,
                limit,
                locality,
            };
            let (members, sharing_nodes) = share.of(&candidates);
            subset.members.extend(members);
            if share.is_local {
                subset.sharing_nodes = sharing_nodes as f64;
            }
        }
        subset
    }

    /// All workers, each with so many connections.
    fn of_all(workers: &[Arc<Worker>], connections: u32, locality: Locality) -> Subset {
        let member = |worker: &Arc<Worker>| Member {
            worker: worker.clone(),
            connections,
        };
        Subset {
            members: workers.iter().map(member).collect(),
            sharing_nodes: locality.nodes_in_zone.max(1) as f64,
        }
    }
}

/// What a node uses of the workers of one zone.
struct ZoneShare {
    /// The zone is the node's own.
    is_local: bool,
    /// There are too few connections for every node to use every worker.
    is_scarce: bool,
    /// Connections that each worker takes.
    limit: u32,
    locality: Locality,
}

impl ZoneShare {
    /// The workers that the node uses of a zone's, and how many nodes use each of them.
    fn of(&self, candidates: &[Arc<Worker>]) -> (Vec<Member>, usize) {
        let all_nodes = self.locality.nodes.max(1);
        let nodes_in_zone = self.locality.nodes_in_zone.max(1);
        // Where connections abound, the nodes of each zone spread over all
        // workers of every other, so that a zone that loses its own workers
        // weighs evenly on them.
        let (number, nodes) = if self.is_local || !self.is_scarce {
            (self.locality.number_in_zone, nodes_in_zone)
        } else {
            (self.locality.number, all_nodes)
        };
        let part = if self.is_local {
            c::LOCAL_CONNECTION_PART
        } else {
            c::REMOTE_CONNECTION_PART
        };
        let room = f64::from(self.limit) * part;
        let size = self.size(candidates.len(), room, nodes);
        let callers = if self.is_local { nodes } else { all_nodes };
        let sharing_nodes = (callers * size).div_ceil(candidates.len());
        let connections = ((room / sharing_nodes as f64) as u32).max(1);
        let connections = if self.is_local || !self.is_scarce {
            connections
        } else {
            1
        };
        let chosen = window(candidates, number, nodes, size);
        let members = chosen.map(|worker| Member { worker, connections });
        (members.collect(), sharing_nodes)
    }

    /// How many workers of so many the node uses, if `room` connections of each are shared.
    fn size(&self, candidates: usize, room: f64, nodes: usize) -> usize {
        if self.is_local {
            c::LOCAL_SUBSET.min(candidates)
        } else if self.is_scarce {
            let fits = (room * candidates as f64 / nodes as f64) as usize;
            fits.clamp(1, c::REMOTE_SUBSET).min(candidates)
        } else {
            c::REMOTE_SUBSET.min(candidates)
        }
    }
}

/// A run of workers on the ring, begun where this node's part of it begins.
fn window(
    workers: &[Arc<Worker>],
    number: usize,
    nodes: usize,
    size: usize,
) -> impl Iterator<Item = Arc<Worker>> + '_ {
    let start = number * workers.len() / nodes;
    (start..start + size).map(|i| workers[i % workers.len()].clone())
}
