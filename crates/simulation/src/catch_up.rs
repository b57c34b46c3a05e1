//! Measures how long a member takes to catch up after it was absent during changes of realistic
//! size.

use crate::cluster::Cluster;
use crate::configuration::large_configuration;
use control_state::Outcome;
use protocol::ConfigurationCommand;

/// Bandwidth of a slow link: 2 Mbit/s, in bytes per second.
pub const SLOW_LINK_BYTES_PER_S: u64 = 250_000;

/// Names and regions of the voters.
const VOTERS: [(&str, &str); 5] = [("a", "r1"), ("b", "r1"), ("c", "r2"), ("d", "r2"), ("e", "r3")];

/// Returns a cluster of five voters and a learner, with a configuration of `routes` routes.
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
    replace_configuration(&mut cluster, 1, routes);
    cluster
}

/// Sends a version based on the previous one until it is accepted.
pub fn replace_configuration(cluster: &mut Cluster, version: u64, routes: u64) {
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
    panic!("version {version} was not accepted");
}

fn current_version(cluster: &Cluster, name: &str) -> u64 {
    let process = cluster.nodes[name].process.as_ref();
    process.map_or(0, |p| if p.current { p.state.version() } else { 0 })
}

/// Returns the time until a machine that was down during `changes` changes has caught up, in ms,
/// or `None` if it takes more than 30 s. A `bandwidth` of 0 means unlimited.
pub fn catch_up_ms(seed: u64, routes: u64, changes: u64, bandwidth: u64, wipe: bool) -> Option<u64> {
    let mut cluster = cluster(seed, routes);
    cluster.end("e", false);
    for v in 2..=changes + 1 {
        replace_configuration(&mut cluster, v, routes);
    }
    if wipe {
        cluster.wipe("e");
    }
    if bandwidth > 0 {
        cluster.bandwidth.insert("e".into(), bandwidth);
    }
    let from = cluster.now;
    cluster.start("e");
    while current_version(&cluster, "e") < changes + 1 {
        cluster.run(10);
        if cluster.now - from > 30_000 {
            return None;
        }
    }
    Some(cluster.now - from)
}
