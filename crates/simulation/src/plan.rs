//! Plans of random runs: what operators send and what strikes the machines, step by
//! step. A plan is plain data, so that a failing one can be made smaller.

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, Reason, RngAlgorithm, TestRng, TestRunner};

/// How a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Both,
    /// Nothing comes in.
    In,
    /// Nothing goes out.
    Out,
}

/// What strikes a machine, or several. Machines go by number; one number may name
/// another machine, or nobody, once machines have left.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The process is killed and starts again after a pause.
    Kill {
        target: u8,
        pause: u64,
    },
    /// The power is lost: what was not synced may be gone.
    Power {
        target: u8,
        pause: u64,
    },
    /// The disk is lost too.
    Wipe {
        target: u8,
        pause: u64,
    },
    /// All processes are killed, or all lose power, at the same moment.
    All {
        power: bool,
        pause: u64,
    },
    /// One machine loses its disk while all others lose power.
    WipeAndAll {
        target: u8,
        pause: u64,
    },
    /// All machines of a region lose their disks.
    WipeRegion {
        region: u8,
        pause: u64,
    },
    /// Two machines don't hear each other.
    Cut {
        a: u8,
        b: u8,
        way: Direction,
        duration_ms: u64,
    },
    /// One machine hears no other, is heard by none, or both.
    Isolate {
        target: u8,
        way: Direction,
        duration_ms: u64,
    },
    /// One region is cut off from the others.
    Split {
        region: u8,
        duration_ms: u64,
    },
    /// The process stands still, then goes on with what has queued up.
    Freeze {
        target: u8,
        duration_ms: u64,
    },
    /// Syncs take longer, ms.
    SlowDisk {
        target: u8,
        by: u64,
        duration_ms: u64,
    },
    StuckDisk {
        target: u8,
        duration_ms: u64,
    },
    /// What is on its way between two machines is lost.
    Reset {
        a: u8,
        b: u8,
    },
    /// A machine goes for good, told to end before or not; another takes its place.
    Replace {
        target: u8,
        graceful: bool,
        pause: u64,
    },
    /// A process is told to end, ends, and starts again.
    Restart {
        target: u8,
        pause: u64,
    },
    /// Another machine joins.
    Join {
        region: u8,
    },
    /// The leader logs so many changes of its own.
    Fill {
        count: u8,
    },
    /// A worker ends at once, or drains, or another starts.
    Worker {
        target: u8,
        what: u8,
    },
    /// Calls and answers between nodes are lost, or come twice, of a hundred.
    Lossy {
        percent: u8,
        duration_ms: u64,
    },
}

/// What an operator does.
#[derive(Clone, Copy, Debug)]
pub enum OperatorRequest {
    /// Sends a new configuration on the newest version it knows, or on an older one.
    Replace {
        older: u8,
        invalid: bool,
    },
    /// Sends what the other operator sent last, byte for byte.
    Twin,
    Evacuate {
        zone: u8,
        begin: bool,
    },
    Read,
}

/// What a step does.
#[derive(Clone, Copy, Debug)]
pub enum StepAction {
    Fault(Fault),
    OperatorRequest {
        operator: u8,
        node: u8,
        ask: OperatorRequest,
    },
}

/// One step of a plan.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// Pause before it, ms.
    pub after: u64,
    pub what: StepAction,
}

/// One random world.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Machines with a disk at the start; they go round three regions. So many that
    /// they tolerate the loss of one (four would not).
    pub disks: u8,
    /// Machines without.
    pub others: u8,
    /// Workers of a service that is divided by keys.
    pub workers: u8,
    /// Latencies, elections and what a loss of power spares.
    pub seed: u64,
    pub steps: Vec<Step>,
}

/// Machines and regions that a plan names.
const MACHINES: u8 = 9;
const REGIONS: u8 = 3;

fn faults() -> impl Strategy<Value = Fault> {
    let target = || 0..MACHINES;
    let region = || 0..REGIONS;
    let pause = || 10..3000u64;
    let duration_ms = || prop_oneof![3 => 50..1500u64, 2 => 1500..6000u64, 1 => 6000..20_000u64];
    let way = || prop_oneof![2 => Just(Direction::Both), 1 => Just(Direction::In), 1 => Just(Direction::Out)];
    prop_oneof![
        4 => (target(), pause()).prop_map(|(target, pause)| Fault::Kill { target, pause }),
        4 => (target(), pause()).prop_map(|(target, pause)| Fault::Power { target, pause }),
        4 => (target(), pause()).prop_map(|(target, pause)| Fault::Wipe { target, pause }),
        2 => (any::<bool>(), pause()).prop_map(|(power, pause)| Fault::All { power, pause }),
        1 => (target(), pause()).prop_map(|(target, pause)| Fault::WipeAndAll { target, pause }),
        1 => (region(), pause()).prop_map(|(region, pause)| Fault::WipeRegion { region, pause }),
        3 => (target(), target(), way(), duration_ms()).prop_map(|(a, b, way, duration_ms)| Fault::Cut { a, b, way, duration_ms }),
        4 => (target(), way(), duration_ms()).prop_map(|(target, way, duration_ms)| Fault::Isolate { target, way, duration_ms }),
        1 => (region(), duration_ms()).prop_map(|(region, duration_ms)| Fault::Split { region, duration_ms }),
        4 => (target(), duration_ms()).prop_map(|(target, duration_ms)| Fault::Freeze { target, duration_ms }),
        2 => (target(), 50..1500u64, duration_ms()).prop_map(|(target, by, duration_ms)| Fault::SlowDisk { target, by, duration_ms }),
        2 => (target(), duration_ms()).prop_map(|(target, duration_ms)| Fault::StuckDisk { target, duration_ms }),
        3 => (target(), target()).prop_map(|(a, b)| Fault::Reset { a, b }),
        2 => (target(), any::<bool>(), pause()).prop_map(|(target, graceful, pause)| Fault::Replace { target, graceful, pause }),
        2 => (target(), pause()).prop_map(|(target, pause)| Fault::Restart { target, pause }),
        1 => region().prop_map(|region| Fault::Join { region }),
        1 => (5..60u8).prop_map(|count| Fault::Fill { count }),
        1 => (0..3u8, 0..3u8).prop_map(|(target, what)| Fault::Worker { target, what }),
        1 => (1..40u8, duration_ms()).prop_map(|(percent, duration_ms)| Fault::Lossy { percent, duration_ms }),
    ]
}

fn asks() -> impl Strategy<Value = StepAction> {
    let ask = prop_oneof![
        8 => (prop_oneof![6 => Just(0u8), 1 => 1..4u8], prop::bool::weighted(0.05))
            .prop_map(|(older, invalid)| OperatorRequest::Replace { older, invalid }),
        1 => Just(OperatorRequest::Twin),
        2 => (0..2u8, any::<bool>()).prop_map(|(zone, begin)| OperatorRequest::Evacuate { zone, begin }),
        3 => Just(OperatorRequest::Read),
    ];
    (0..2u8, 0..MACHINES, ask).prop_map(|(operator, node, ask)| StepAction::OperatorRequest {
        operator,
        node,
        ask,
    })
}

/// Plans with at most so many steps.
pub fn plans(most: usize) -> impl Strategy<Value = Plan> {
    let after = prop_oneof![3 => 0..40u64, 3 => 40..400u64, 1 => 400..2500u64];
    let what = prop_oneof![
        2 => asks(),
        1 => faults().prop_map(StepAction::Fault),
    ];
    let step = (after, what).prop_map(|(after, what)| Step { after, what });
    (
        prop_oneof![Just(3u8), Just(5), Just(6)],
        0..=2u8,
        prop_oneof![3 => Just(0u8), 1 => Just(3)],
        any::<u64>(),
        prop::collection::vec(step, 4..most),
    )
        .prop_map(|(disks, others, workers, seed, steps)| Plan {
            disks,
            others,
            workers,
            seed,
            steps,
        })
}

/// A plan, and smaller ones on demand.
pub struct PlanTree(Box<dyn ValueTree<Value = Plan>>);

impl PlanTree {
    /// The plan of a seed: the same in every run of one build.
    pub fn of_seed(seed: u64, most: usize) -> Result<PlanTree, Reason> {
        let mut bytes = [0u8; 32];
        bytes[..8].copy_from_slice(&seed.to_le_bytes());
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
        let mut runner = TestRunner::new_with_rng(Config::default(), rng);
        let tree = plans(most).new_tree(&mut runner);
        tree.map(|t| PlanTree(Box::new(t)))
    }

    /// The plan as it is now.
    pub fn plan(&self) -> Plan {
        self.0.current()
    }

    /// The smallest plan that still fails, found by at most so many tries.
    pub fn smallest(&mut self, tries: usize, fails: impl Fn(&Plan) -> bool) -> Plan {
        let mut smallest = self.plan();
        for _ in 0..tries {
            let plan = self.0.current();
            let went_on = if fails(&plan) {
                smallest = plan;
                self.0.simplify()
            } else {
                self.0.complicate()
            };
            if !went_on {
                break;
            }
        }
        smallest
    }
}
