//! Counters in the log, at a slow pace: only those that have changed.

use crate::kernel::{Component, NodeContext, StartError};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

inventory::submit! { Component { name: "counter_log", order: 110, start } }

fn start(context: &Rc<NodeContext>) -> Result<(), StartError> {
    let every = context.counters_interval_s;
    if every == 0 {
        return Ok(());
    }
    let context = context.clone();
    actix_rt::spawn(async move {
        let mut before = BTreeMap::new();
        loop {
            actix_rt::time::sleep(Duration::from_secs(every)).await;
            let now = context.counters.all();
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
