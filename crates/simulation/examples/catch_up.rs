//! Measures how long a member takes that was away during so many changes of real
//! size, on simulated time:
//!
//! ```text
//! cargo run --release -p pebblepond-simulation --example catch_up
//! ```

use control_state::Outcome;
use protocol::ConfigurationCommand;
use simulation::script::large_configuration;
use simulation::world::World;

const NARROW: u64 = 250_000;

const VOTERS: [(&str, &str); 5] = [("a", "r1"), ("b", "r1"), ("c", "r2"), ("d", "r2"), ("e", "r3")];

fn world(seed: u64, routes: u64) -> World {
    let mut world = World::new(seed);
    for (i, (name, region)) in VOTERS.iter().enumerate() {
        world.add(name, region, true, true);
        if i == 0 {
            world.begin(name);
        }
    }
    world.add("x", "r3", false, true);
    world.run(5000);
    change(&mut world, 1, routes);
    world
}

/// Orders a version on top of the one before, until it is taken.
fn change(world: &mut World, version: u64, routes: u64) {
    let name = format!("to-{version}");
    let body = large_configuration(version, routes, false);
    for _ in 0..100 {
        let order = ConfigurationCommand {
            base: version - 1,
            body: body.clone(),
            ..Default::default()
        };
        if world.order(&name, order) {
            for _ in 0..100 {
                world.run(10);
                match world.answers.get(&name) {
                    Some(Some(Outcome::Applied | Outcome::AlreadyApplied)) => return,
                    Some(Some(other)) => panic!("version {version}: {other:?}"),
                    Some(None) => break,
                    None => {}
                }
            }
        }
        world.run(100);
    }
    panic!("version {version} is never taken");
}

fn version(world: &World, name: &str) -> u64 {
    let life = world.nodes[name].life.as_ref();
    life.map_or(0, |l| if l.current { l.stage.version() } else { 0 })
}

/// Time until a machine that was down during so many changes has caught up, ms.
fn recovery(seed: u64, routes: u64, changes: u64, width: u64, wipe: bool) -> Option<u64> {
    let mut world = world(seed, routes);
    world.end("e", false);
    for v in 2..=changes + 1 {
        change(&mut world, v, routes);
    }
    if wipe {
        world.wipe("e");
    }
    if width > 0 {
        world.narrow.insert("e".into(), width);
    }
    let from = world.now;
    world.start("e");
    while version(&world, "e") < changes + 1 {
        world.run(10);
        if world.now - from > 30_000 {
            return None;
        }
    }
    Some(world.now - from)
}

/// Bytes that the busiest voter sends, and that one writes, for each change of one
/// route.
fn costs(changes: u64) -> (u64, usize) {
    let mut world = world(1, 300);
    let disk = |world: &World| world.nodes["b"].disk.as_ref().map_or(0, |d| d.written);
    let (before, from) = (disk(&world), world.now);
    world.measure();
    for v in 2..=changes + 1 {
        change(&mut world, v, 300);
    }
    let sent = world.busiest(true) * (world.now - from) / 1000 / changes;
    (sent, (disk(&world) - before) / changes as usize)
}

/// The state of 300 routes as it is sent, bytes.
fn state() -> usize {
    let world = world(1, 300);
    let life = world.nodes["a"].life.as_ref();
    life.map_or(0, |l| l.stage.to_snapshot().len())
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
