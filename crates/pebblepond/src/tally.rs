//! Counters in the log, at a slow pace: only those that have changed.

use crate::kernel::{House, Plugin};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

inventory::submit! { Plugin { name: "tally", order: 110, start } }

fn start(house: &Rc<House>) -> Result<(), String> {
    let every = house.counters_every_s;
    if every == 0 {
        return Ok(());
    }
    let house = house.clone();
    actix_rt::spawn(async move {
        let mut before = BTreeMap::new();
        loop {
            actix_rt::time::sleep(Duration::from_secs(every)).await;
            let now = house.counters.all();
            let mut line = String::new();
            for (name, count) in now.iter().filter(|(n, c)| before.get(*n) != Some(*c)) {
                let _ = write!(line, " {name}={count}");
            }
            if !line.is_empty() {
                log::info!("event=counters{line}");
            }
            before = now;
        }
    });
    Ok(())
}
