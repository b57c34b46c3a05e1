//! Logs the counters that have changed, once per interval.

use crate::kernel::{Component, NodeContext, StartError};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

inventory::submit! { Component { name: "counter_log", order: 110, start } }

fn start(context: &Rc<NodeContext>) -> Result<(), StartError> {
    let interval_s = context.counters_interval_s;
    if interval_s == 0 {
        return Ok(());
    }
    let context = context.clone();
    actix_rt::spawn(async move {
        let mut previous = BTreeMap::new();
        loop {
            actix_rt::time::sleep(Duration::from_secs(interval_s)).await;
            let current = context.counters.all();
            let mut line = String::new();
            for (name, count) in current.iter().filter(|(n, c)| previous.get(*n) != Some(*c)) {
                let _ = write!(line, " {name}={count}");
            }
            if !line.is_empty() {
                log::info!("event=counters{line}");
            }
            previous = current;
        }
    });
    Ok(())
}
