//! How long a member takes to catch up that was away during changes of real size.

use crate::cluster::Cluster;
use crate::configuration::large_configuration;
use control_state::Outcome;
use protocol::ConfigurationCommand;

/// 2 Mbit/s, in bytes.
pub const NARROW: u64 = 250_000;

/// Names and regions of the voters.
const VOTERS: [(&str, &str); 5] = [("a", "r1"), ("b", "r1"), ("c", "r2"), ("d", "r2"), ("e", "r3")];

/// A cluster of five voters and a learner, whose configuration has so many routes.
pub fn cluster(seed: u64, routes: u64) -> Cluster {
    let mut cluster = Cluster::new(seed);
    for (i, (name, region)) in VOTERS.iter().enumerate() {
        cluster.add(name, region, true, true);
        if i == 0 {
            cluster.begin(name);
        }
    }
    cluster.add("x", "r3", false, true);
    cluster.run(5000);
    change(&mut cluster, 1, routes);
    cluster
}

/// Sends a version on top of the one before, until it is taken.
pub fn change(cluster: &mut Cluster, version: u64, routes: u64) {
    let name = format!("to-{version}");
    let body = large_configuration(version, routes, false);
    for _ in 0..100 {
        let command = ConfigurationCommand {
            base: version - 1,
            body: body.clone(),
            ..Default::default()
        };
        if cluster.command(&name, command) {
            for _ in 0..100 {
                cluster.run(10);
                match cluster.answers.get(&name) {
                    Some(Some(Outcome::Applied | Outcome::AlreadyApplied)) => return,
                    Some(Some(other)) => panic!("version {version}: {other:?}"),
                    Some(None) => break,
                    None => {}
                }
            }
        }
        cluster.run(100);
    }
    panic!("version {version} is never taken");
}

fn version(cluster: &Cluster, name: &str) -> u64 {
    let process = cluster.nodes[name].process.as_ref();
    process.map_or(0, |l| if l.current { l.state.version() } else { 0 })
}

/// Time until a machine that was down during so many changes has caught up, ms.
pub fn recovery(seed: u64, routes: u64, changes: u64, width: u64, wipe: bool) -> Option<u64> {
    let mut cluster = cluster(seed, routes);
    cluster.end("e", false);
    for v in 2..=changes + 1 {
        change(&mut cluster, v, routes);
    }
    if wipe {
        cluster.wipe("e");
    }
    if width > 0 {
        cluster.bandwidth.insert("e".into(), width);
    }
    let from = cluster.now;
    cluster.start("e");
    while version(&cluster, "e") < changes + 1 {
        cluster.run(10);
        if cluster.now - from > 30_000 {
            return None;
        }
    }
    Some(cluster.now - from)
}
