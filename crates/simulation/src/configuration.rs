//! Configurations for simulated operators.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Returns a minimal valid configuration with one partitioned service.
pub fn configuration(version: u64) -> Vec<u8> {
    format!(
        r#"{{"Version":{version},"Limits":{{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"}},"AccessPoints":[],"Groups":[{{"Name":"s","Partitioned":true}}]}}"#
    )
    .into_bytes()
}

/// Returns a configuration with `routes` routes of usual length. It differs from the previous
/// version in one route, or in all of them if `all` is set.
pub fn large_configuration(version: u64, routes: u64, all: bool) -> Vec<u8> {
    let route = |number: u64| {
        // `changed` is the newest version that has changed this route.
        let versions_ago = if all {
            0
        } else {
            (version + routes - number) % routes
        };
        let changed = version.saturating_sub(versions_ago);
        let mut rng = SmallRng::seed_from_u64(number << 32 | changed);
        let mut word = || format!("{:08x}", rng.gen::<u32>());
        // Long random paths, so that a version that changes all routes has little in common with the
        // previous one.
        let path: Vec<String> = (0..if all { 30 } else { 2 }).map(|_| word()).collect();
        format!(
            r#"{{"Host":"{}.{}.example.com","Rules":[{{"Name":"route-{}","RouteType":"idempotent","Target":"{}ms","Priority":2,"Condition":{{"PathPrefix":"/{}/"}},"Treatment":{{"Service":"s","Timeout":"4s","AttemptLimit":3,"HomeRegions":["r1","r2"]}}}}]}}"#,
            word(),
            word(),
            word(),
            100 + number % 9,
            path.join("/")
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    let empty = String::from_utf8(configuration(version)).unwrap_or_default();
    let access_points = format!(r#""AccessPoints":[{}]"#, routes.join(","));
    empty.replace(r#""AccessPoints":[]"#, &access_points).into_bytes()
}
