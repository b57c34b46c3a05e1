//! Measures how long a member takes that was away during so many changes of real
//! size, on simulated time:
//!
//! ```text
//! cargo run --release -p pebblepond-simulation --example catch_up
//! ```

use control_state::Outcome;
use protocol::ConfigurationCommand;
use simulation::cluster::Cluster;
use simulation::scenario::large_configuration;

const NARROW: u64 = 250_000;

const VOTERS: [(&str, &str); 5] = [("a", "r1"), ("b", "r1"), ("c", "r2"), ("d", "r2"), ("e", "r3")];

fn cluster(seed: u64, routes: u64) -> Cluster {
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

/// Commands a version on top of the one before, until it is taken.
fn change(cluster: &mut Cluster, version: u64, routes: u64) {
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
fn recovery(seed: u64, routes: u64, changes: u64, width: u64, wipe: bool) -> Option<u64> {
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

/// Bytes that the busiest voter sends, and that one writes, for each change of one
/// route.
fn costs(changes: u64) -> (u64, usize) {
    let mut cluster = cluster(1, 300);
    let disk = |cluster: &Cluster| cluster.nodes["b"].disk.as_ref().map_or(0, |d| d.written);
    let (before, from) = (disk(&cluster), cluster.now);
    cluster.measure();
    for v in 2..=changes + 1 {
        change(&mut cluster, v, 300);
    }
    let sent = cluster.busiest(true) * (cluster.now - from) / 1000 / changes;
    (sent, (disk(&cluster) - before) / changes as usize)
}

/// The state of 300 routes as it is sent, bytes.
fn state() -> usize {
    let cluster = cluster(1, 300);
    let process = cluster.nodes["a"].process.as_ref();
    process.map_or(0, |l| l.state.to_snapshot().len())
}

fn main() {
    println!("packed state of 300 routes: {} bytes", state());
    let (sent, written) = costs(100);
    println!("for each change of one of 300 routes: {sent} bytes sent by the busiest, {written} written");
    println!("changes | wide, back | 2 Mbit/s, back | 2 Mbit/s, empty");
    for changes in [5, 50, 150, 500] {
        let ms = |width, wipe| recovery(1, 300, changes, width, wipe).unwrap_or(0);
        println!(
            "{changes} | {} ms | {} ms | {} ms",
            ms(0, false),
            ms(NARROW, false),
            ms(NARROW, true)
        );
    }
}
