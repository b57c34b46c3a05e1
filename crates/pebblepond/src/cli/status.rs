//! The state of the system, as the leader tells it.

use super::call::call;
use super::{exit, CliResult, ControlArgs, Failure};
use serde_json::Value;

/// Prints the state of the system.
pub fn status(control: &ControlArgs) -> CliResult {
    let response = call(control, "GET", "/status", None, Vec::new())?;
    if response.status != 200 {
        return Err(Failure(exit::REFUSED, response.error()));
    }
    let text = String::from_utf8_lossy(&response.body).into_owned();
    if control.json {
        println!("{text}");
        return Ok(());
    }
    let value: Value = serde_json::from_str(&text).map_err(|e| Failure(exit::REFUSED, e.to_string()))?;
    print!("{}", show(&value));
    Ok(())
}

fn rows(value: &Value, name: &str) -> Vec<Value> {
    value[name].as_array().cloned().unwrap_or_default()
}

fn word(value: &Value) -> String {
    match value {
        Value::String(s) => s.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

/// How the core stands, in the words of the operators' page.
fn core(c: &Value) -> String {
    if c.is_null() {
        return String::new();
    }
    let yes = |name: &str| c[name] == Value::Bool(true);
    let mut out = if !yes("in_contact") {
        format!(
            "THIS NODE IS OUT OF CONTACT: no word of a majority for {} ms; what follows may be old\n",
            word(&c["silent_ms"])
        )
    } else if yes("leads") {
        format!("this node leads, for {} ms\n", word(&c["led_for_ms"]))
    } else {
        format!("this node follows; last word {} ms ago\n", word(&c["silent_ms"]))
    };
    out += &format!("voters {}, majority {}", word(&c["voters"]), word(&c["majority"]));
    if yes("leads") {
        let further = c["further_losses"].as_i64().unwrap_or(0);
        out += &format!(
            "; live {}, caught up {}, learning {}; bears {further} further loss{}{}",
            word(&c["live"]),
            word(&c["caught_up"]),
            word(&c["learning"]),
            if further == 1 { "" } else { "es" },
            if yes("bears_tolerance") {
                ""
            } else {
                ", less than Tolerance"
            },
        );
    }
    if yes("roll_change_under_way") {
        out += "; a change of the voters is under way";
    }
    if yes("disk_in_trouble") {
        out += "; DISK IN TROUBLE";
    }
    out += &format!(
        "\nsnapshot at {} ({} bytes), {} entries since; orders remembered: {} configurations, {} others\n\n",
        word(&c["snapshot_index"]),
        word(&c["snapshot_bytes"]),
        word(&c["log_entries"]),
        word(&c["orders"]["configurations"]),
        word(&c["orders"]["others"]),
    );
    out
}

fn show(v: &Value) -> String {
    let mut out = format!(
        "leader {}  term {}  lease {}  commit {}  version {}  workers {}  evacuated {}\n\nmembers\n",
        word(&v["leader"]),
        word(&v["term"]),
        word(&v["lease"]),
        word(&v["commit"]),
        word(&v["version"]),
        word(&v["workers"]),
        word(&v["evacuated"]),
    );
    out = core(&v["core"]) + &out;
    for m in rows(v, "members") {
        let flags: Vec<&str> = ["alive", "ready", "disk", "votes"]
            .into_iter()
            .filter(|f| m[*f] == Value::Bool(true))
            .collect();
        out += &format!(
            "  {:20} {:22} {:10} applied {:>6}  silent {:>6} ms  {}\n",
            word(&m["name"]),
            word(&m["address"]),
            word(&m["zone"]),
            word(&m["applied"]),
            word(&m["silent_ms"]),
            flags.join(" ")
        );
    }
    out += "\nkeys\n";
    for h in rows(v, "holdings") {
        out += &format!(
            "  {:12} {:>5} to {:>5}  {:16} fence {}{}\n",
            word(&h["service"]),
            word(&h["from"]),
            word(&h["to"]),
            word(&h["worker"]),
            word(&h["fence"]),
            if h["leaving"] == Value::Bool(true) {
                "  leaving"
            } else {
                ""
            }
        );
    }
    out += "\nfractions\n";
    for f in rows(v, "fractions") {
        let part = f["part"].as_f64().unwrap_or(0.0);
        out += &format!(
            "  {:12} {:10} {:12} {part:.2}\n",
            word(&f["service"]),
            word(&f["group"]),
            word(&f["site"])
        );
    }
    out
}

#[cfg(test)]
#[path = "status_tests.rs"]
mod tests;
