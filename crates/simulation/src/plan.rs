//! Plans of random runs: the requests of operators and the faults of machines, step by step.
//! A plan is plain data, so that a failing plan can be shrunk.

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, Reason, RngAlgorithm, TestRng, TestRunner};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The directions in which links are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Both,
    /// Incoming messages are dropped.
    In,
    /// Outgoing messages are dropped.
    Out,
}

/// A fault of one or several machines. Machines are given by number; after machines have left,
/// a number may refer to another machine, or to none.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Kills the process, which starts again after a pause.
    Kill {
        target: u8,
        pause: u64,
    },
    /// Power loss of one machine: unsynced writes may be lost.
    LosePower {
        target: u8,
        pause: u64,
    },
    /// Loss of the disk: the process starts again with an empty one.
    LoseDisk {
        target: u8,
        pause: u64,
    },
    /// Kills all processes, or cuts the power of all machines, at the same moment.
    StopAll {
        power: bool,
        pause: u64,
    },
    /// One machine loses its disk and all others lose power.
    LoseDiskAndAllPower {
        target: u8,
        pause: u64,
    },
    /// All machines of a region lose their disks.
    LoseRegionDisks {
        region: u8,
        pause: u64,
    },
    /// Cuts the link between two machines; with `In` or `Out` only messages from `a` to `b` are
    /// dropped.
    Cut {
        a: u8,
        b: u8,
        way: Direction,
        duration_ms: u64,
    },
    /// Cuts one machine off from all others, for incoming messages, outgoing ones, or both.
    Isolate {
        target: u8,
        way: Direction,
        duration_ms: u64,
    },
    /// Cuts one region off from the others.
    CutOffRegion {
        region: u8,
        duration_ms: u64,
    },
    /// Freezes a process, which then continues with the messages queued meanwhile.
    Freeze {
        target: u8,
        duration_ms: u64,
    },
    /// Syncs of the disk take longer by `by`, ms.
    SlowDisk {
        target: u8,
        by: u64,
        duration_ms: u64,
    },
    StuckDisk {
        target: u8,
        duration_ms: u64,
    },
    /// Resets the connections between two machines: messages in flight are dropped.
    ResetConnections {
        a: u8,
        b: u8,
    },
    /// A machine is permanently removed, after a shutdown request if `graceful`; another one
    /// replaces it.
    Replace {
        target: u8,
        graceful: bool,
        pause: u64,
    },
    /// A process is requested to shut down, ends, and starts again.
    Restart {
        target: u8,
        pause: u64,
    },
    /// A new machine joins.
    Join {
        region: u8,
    },
    /// The leader logs `count` changes of its own.
    FillLog {
        count: u8,
    },
    /// Ends a worker at once (`what` 0), drains it (1), or starts another one (2).
    Worker {
        target: u8,
        what: u8,
    },
    /// Calls and answers are lost, duplicated or delayed, each with this probability in percent.
    Lossy {
        percent: u8,
        duration_ms: u64,
    },
}

/// A request that an operator sends.
#[derive(Clone, Copy, Debug)]
pub enum OperatorRequest {
    /// Sends a new configuration based on the newest version that the operator knows, or on an
    /// older one (`older` versions back).
    Replace {
        older: u8,
        invalid: bool,
    },
    /// Sends the last configuration sent by either operator again, byte for byte, as a new command.
    Duplicate,
    Evacuate {
        zone: u8,
        begin: bool,
    },
    Read,
}

/// The action of a step.
#[derive(Clone, Copy, Debug)]
pub enum StepAction {
    Fault(Fault),
    OperatorRequest {
        operator: u8,
        node: u8,
        request: OperatorRequest,
    },
}

/// One step of a plan.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// Pause before the step, ms.
    pub after: u64,
    pub what: StepAction,
}

/// The plan of one random run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of machines with a disk at the start, distributed over three regions in turn. The
    /// numbers used tolerate the loss of one machine (four would not).
    pub disks: u8,
    /// Number of machines without a disk.
    pub diskless: u8,
    /// Number of workers of a service that is partitioned by keys.
    pub workers: u8,
    /// Determines latencies, election time-outs and which writes survive a power loss.
    pub seed: u64,
    pub steps: Vec<Step>,
}

/// Pauses between the steps that [`Plan::with_restarts_of_all`] appends, ms.
const SERIES_PAUSES_MS: std::ops::Range<u64> = 50..8000;
/// Number of restarts of all processes that it appends.
const RESTARTS_OF_ALL: usize = 3;

impl Plan {
    /// Appends evacuations of one zone with restarts of all processes in between: after each restart
    /// the first command arrives while no process knows when earlier commands were sent. The seed
    /// of the plan determines the pauses and the operators.
    pub fn with_restarts_of_all(mut self) -> Plan {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut begin = true;
        for _ in 0..RESTARTS_OF_ALL {
            for _ in 0..rng.gen_range(1..4) {
                self.steps
                    .push(evacuation_step(&mut rng, SERIES_PAUSES_MS, begin));
                begin = !begin;
            }
            let (power, pause) = (rng.gen(), rng.gen_range(100..1500));
            self.steps.push(Step {
                after: rng.gen_range(SERIES_PAUSES_MS),
                what: StepAction::Fault(Fault::StopAll { power, pause }),
            });
            let soon = pause..pause + 1500;
            self.steps.push(evacuation_step(&mut rng, soon, begin));
            begin = !begin;
        }
        self
    }
}

/// Returns a step that begins or finishes an evacuation of the first zone.
fn evacuation_step(rng: &mut SmallRng, after: std::ops::Range<u64>, begin: bool) -> Step {
    let request = OperatorRequest::Evacuate { zone: 0, begin };
    Step {
        after: rng.gen_range(after),
        what: StepAction::OperatorRequest {
            operator: rng.gen_range(0..2),
            node: rng.gen_range(0..MACHINES),
            request,
        },
    }
}

/// Number of machines and regions that a plan refers to.
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
        4 => (target(), pause()).prop_map(|(target, pause)| Fault::LosePower { target, pause }),
        4 => (target(), pause()).prop_map(|(target, pause)| Fault::LoseDisk { target, pause }),
        2 => (any::<bool>(), pause()).prop_map(|(power, pause)| Fault::StopAll { power, pause }),
        1 => (target(), pause()).prop_map(|(target, pause)| Fault::LoseDiskAndAllPower { target, pause }),
        1 => (region(), pause()).prop_map(|(region, pause)| Fault::LoseRegionDisks { region, pause }),
        3 => (target(), target(), way(), duration_ms()).prop_map(|(a, b, way, duration_ms)| Fault::Cut { a, b, way, duration_ms }),
        4 => (target(), way(), duration_ms()).prop_map(|(target, way, duration_ms)| Fault::Isolate { target, way, duration_ms }),
        1 => (region(), duration_ms()).prop_map(|(region, duration_ms)| Fault::CutOffRegion { region, duration_ms }),
        4 => (target(), duration_ms()).prop_map(|(target, duration_ms)| Fault::Freeze { target, duration_ms }),
        2 => (target(), 50..1500u64, duration_ms()).prop_map(|(target, by, duration_ms)| Fault::SlowDisk { target, by, duration_ms }),
        2 => (target(), duration_ms()).prop_map(|(target, duration_ms)| Fault::StuckDisk { target, duration_ms }),
        3 => (target(), target()).prop_map(|(a, b)| Fault::ResetConnections { a, b }),
        2 => (target(), any::<bool>(), pause()).prop_map(|(target, graceful, pause)| Fault::Replace { target, graceful, pause }),
        2 => (target(), pause()).prop_map(|(target, pause)| Fault::Restart { target, pause }),
        1 => region().prop_map(|region| Fault::Join { region }),
        1 => (5..60u8).prop_map(|count| Fault::FillLog { count }),
        1 => (0..3u8, 0..3u8).prop_map(|(target, what)| Fault::Worker { target, what }),
        1 => (1..40u8, duration_ms()).prop_map(|(percent, duration_ms)| Fault::Lossy { percent, duration_ms }),
    ]
}

fn operator_requests() -> impl Strategy<Value = StepAction> {
    let request = prop_oneof![
        8 => (prop_oneof![6 => Just(0u8), 1 => 1..4u8], prop::bool::weighted(0.05))
            .prop_map(|(older, invalid)| OperatorRequest::Replace { older, invalid }),
        1 => Just(OperatorRequest::Duplicate),
        2 => (0..2u8, any::<bool>()).prop_map(|(zone, begin)| OperatorRequest::Evacuate { zone, begin }),
        3 => Just(OperatorRequest::Read),
    ];
    (0..2u8, 0..MACHINES, request).prop_map(|(operator, node, request)| StepAction::OperatorRequest {
        operator,
        node,
        request,
    })
}

/// Returns a strategy for plans with fewer than `max_steps` steps.
pub fn plans(max_steps: usize) -> impl Strategy<Value = Plan> {
    let after = prop_oneof![3 => 0..40u64, 3 => 40..400u64, 1 => 400..2500u64];
    let what = prop_oneof![
        2 => operator_requests(),
        1 => faults().prop_map(StepAction::Fault),
    ];
    let step = (after, what).prop_map(|(after, what)| Step { after, what });
    (
        prop_oneof![Just(3u8), Just(5), Just(6)],
        0..=2u8,
        prop_oneof![3 => Just(0u8), 1 => Just(3)],
        any::<u64>(),
        prop::collection::vec(step, 4..max_steps),
    )
        .prop_map(|(disks, diskless, workers, seed, steps)| Plan {
            disks,
            diskless,
            workers,
            seed,
            steps,
        })
}

/// A plan that can be shrunk.
pub struct PlanTree(Box<dyn ValueTree<Value = Plan>>);

impl PlanTree {
    /// Returns the plan of a seed, which is the same in every run of one build.
    pub fn of_seed(seed: u64, max_steps: usize) -> Result<PlanTree, Reason> {
        let mut bytes = [0u8; 32];
        bytes[..8].copy_from_slice(&seed.to_le_bytes());
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
        let mut runner = TestRunner::new_with_rng(Config::default(), rng);
        let tree = plans(max_steps).new_tree(&mut runner);
        tree.map(|t| PlanTree(Box::new(t)))
    }

    /// Returns the current plan.
    pub fn plan(&self) -> Plan {
        self.0.current()
    }

    /// Returns the smallest failing plan found within `tries` shrinking steps.
    pub fn smallest(&mut self, tries: usize, fails: impl Fn(&Plan) -> bool) -> Plan {
        let mut smallest = self.plan();
        for _ in 0..tries {
            let plan = self.0.current();
            let is_changed = if fails(&plan) {
                smallest = plan;
                self.0.simplify()
            } else {
                self.0.complicate()
            };
            if !is_changed {
                break;
            }
        }
        smallest
    }
}
