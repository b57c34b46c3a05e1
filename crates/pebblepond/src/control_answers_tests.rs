//! What control says stays as it is, byte for byte but for values: `control-answers.txt`
//! holds every answer of a fixed list of calls to a node that leads alone (commit 7a4bca1).

use crate::control_tests::{control, raw};
use crate::forwarding_tests::CONFIG;
use serde_json::Value;

const PINNED: &str = include_str!("../tests/data/control-answers.txt");

/// Calls whose answers hold values that differ from run to run.
const VALUES: [&str; 3] = ["/status", "/rollouts/list", "/resolution"];

/// The fields and their kinds, without the values.
fn kinds(value: &Value) -> Value {
    match value {
        Value::Null => Value::Null,
        Value::Bool(_) => Value::Bool(false),
        Value::Number(_) => Value::from(0),
        Value::String(_) => Value::from(""),
        Value::Array(items) => items.first().map(kinds).into_iter().collect(),
        Value::Object(fields) => {
            let fields = fields.iter().map(|(name, value)| match name.as_str() {
                "counters" => (name.clone(), Value::from("counts by name")),
                _ => (name.clone(), kinds(value)),
            });
            Value::Object(fields.collect())
        }
    }
}

/// An answer as it is compared.
fn comparable(path: &str, answer: &str) -> String {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    let differs = VALUES.iter().any(|p| path.starts_with(p));
    let header = |line: &str| match line.split_once(": ") {
        Some((name, _)) if name == "date" => format!("{name}: *"),
        Some((name, _)) if name == "content-length" && differs => format!("{name}: *"),
        _ => line.to_string(),
    };
    let mut lines: Vec<String> = head.lines().map(header).collect();
    // Their order differs from run to run.
    lines[1..].sort();
    let body = match serde_json::from_str(body) {
        Ok(value) if differs => kinds(&value).to_string(),
        _ => body.to_string(),
    };
    format!("{}\n\n{body}\n", lines.join("\n"))
}

fn call(method: &str, path: &str, headers: &str, body: &str) -> (String, String) {
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    );
    (format!("{method} {path} {headers}{body}"), request)
}

fn calls() -> Vec<(String, String)> {
    let version = |n: u64| CONFIG.replace("\"Version\":1,", &format!("\"Version\":{n},"));
    let base = |n: u64| format!("Base-Version: {n}\r\n");
    let get = |path: &str| call("GET", path, "", "");
    let post = |path: &str, body: &str| call("POST", path, "", body);
    let change =
        |what: &str, on: u64, body: &str| call("POST", &format!("/configuration/{what}"), &base(on), body);
    vec![
        get("/readiness"),
        get("/configuration/read"),
        post("/configuration/replace", CONFIG),
        change("replace", 0, "{"),
        change("replace", 0, &CONFIG.replace("idempotent\"", "sometimes\"")),
        change("replace", 7, &version(9)),
        change("modify", 0, r#"{"Version":2}"#),
        change("replace", 0, CONFIG),
        change("replace", 0, CONFIG),
        change("replace", 0, &version(3)),
        change("replace", 1, CONFIG),
        change("modify", 1, r#"{"Version":4,"Upsert":{"Groups":[{"Name":"t"}]}}"#),
        change("modify", 4, r#"{"Version":5,"Remove":{"Groups":["nowhere"]}}"#),
        get("/configuration/read"),
        get("/readiness"),
        post("/evacuation/z/begin", ""),
        post("/evacuation/nowhere/begin", ""),
        post("/evacuation/z/sideways", ""),
        post("/evacuation/z/finish", ""),
        post("/rollouts/begin", "{"),
        post(
            "/rollouts/begin",
            r#"{"Service":"","TargetVersion":"2","Duration":"20s"}"#,
        ),
        post(
            "/rollouts/begin",
            r#"{"Service":"s","TargetVersion":"2","Duration":"1ms"}"#,
        ),
        post(
            "/rollouts/begin",
            r#"{"Service":"nowhere","TargetVersion":"2","Duration":"60s"}"#,
        ),
        get("/rollouts/s/read"),
        post(
            "/rollouts/begin",
            r#"{"Service":"s","TargetVersion":"2","Duration":"60s","Who":"me","Why":"trial"}"#,
        ),
        post(
            "/rollouts/begin",
            r#"{"Service":"s","TargetVersion":"3","Duration":"60s"}"#,
        ),
        get("/rollouts/s/read"),
        post("/rollouts/s/pause", ""),
        post("/rollouts/s/dance", ""),
        post("/rollouts/nowhere/cancel", ""),
        post("/rollouts/s/cancel", r#"{"Expected":99}"#),
        post("/rollouts/s/cancel", r#"{"Who":"me","Why":"enough"}"#),
        get("/rollouts/s/read"),
        post("/rollouts/kill-switch", r#"{"On":true,"Who":"me","Why":"night"}"#),
        post("/rollouts/kill-switch", "{}"),
        get("/rollouts/list"),
        get("/status"),
        get("/resolution?Name=a.example&Region=r&Zone=z"),
        get("/nowhere"),
        post("/status", ""),
    ]
}

#[actix_rt::test]
async fn control_answers_as_it_did() {
    let (_context, address, _folder) = control().await;
    let mut told = String::new();
    for (what, request) in calls() {
        let path = what.split(' ').nth(1).unwrap_or("").to_string();
        let answer = raw(address, &request).await;
        let what: String = what.replace("\r\n", " ").chars().take(120).collect();
        told += &format!("> {}\n{}\n", what.replace('\n', ""), comparable(&path, &answer));
    }
    if told != PINNED {
        let path = std::env::temp_dir().join("control-answers.txt");
        std::fs::write(&path, &told).expect("written");
        panic!("the answers have changed; as they are now: {}", path.display());
    }
}
