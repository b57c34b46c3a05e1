//! Control over HTTP on a node that leads a system of one: answers belong to the
//! request on their connection, and bad input is refused whole with its field named.

use crate::forwarding_tests::{free_port, status, CONFIG};
use crate::kernel::{start_all_but, NodeContext};
use config::Settings;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A folder that goes with the test.
pub(crate) struct Folder(std::path::PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A node that leads alone, and the address of its control.
pub(crate) async fn control() -> (Rc<NodeContext>, SocketAddrV4, Folder) {
    let folder = Folder(std::env::temp_dir().join(format!("control-{:x}", rand::random::<u64>())));
    let (internal, port) = (free_port(), free_port());
    let text = format!(
        r#"
        [OwnEntity]
        NodeName = "n"
        IpAddress = "127.0.0.1"
        Zone = "z"
        Region = "r"
        InitialStart = true
        DataDirectory = "{}"
        [OwnEntity.Limits]
        CpuFraction = 1.0
        [Network]
        InternalPorts = [{internal}, {internal}]
        SeedNodes = ["127.0.0.1:{internal}"]
        [Network.ListenPoints]
        Control = "127.0.0.1:{port}"
        [Network.Zones]
        z = "r"
        [Platform.CloudApi]
        Address = "127.0.0.1:1"
        RatePerS = 1.0
        [Terms]
        "#,
        folder.0.display()
    );
    let settings = Settings::parse(&text).expect("settings");
    let node = NodeContext::new(settings, String::new(), 0);
    let out = [
        "proxy",
        "discovery",
        "key_ownership",
        "placement",
        "rollouts",
        "shutdown",
        "counter_log",
    ];
    start_all_but(&node, &out).expect("starts");
    while !node.status.get().is_leader || !node.status.get().is_current {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    (node, SocketAddrV4::new([127, 0, 0, 1].into(), port), folder)
}

fn replace(headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /configuration/replace HTTP/1.1\r\nHost: c\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
}

fn closing(request: &str) -> String {
    request.replacen("Host: c\r\n", "Host: c\r\nConnection: close\r\n", 1)
}

/// Sends bytes, as far as they are taken, and reads until the other side closes.
pub(crate) async fn raw(address: SocketAddrV4, text: &str) -> String {
    let io = TcpStream::connect(address).await.expect("connects");
    let (mut reading, mut writing) = io.into_split();
    let text = text.to_string();
    let sending = actix_rt::spawn(async move {
        let _ = writing.write_all(text.as_bytes()).await;
        writing
    });
    let mut got = Vec::new();
    let _ = reading.read_to_end(&mut got).await;
    sending.abort();
    String::from_utf8_lossy(&got).into_owned()
}

const READ: &str = "GET /configuration/read HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n";

#[actix_rt::test]
async fn bad_input_is_refused_with_its_field_and_nothing_is_taken() {
    let (node, control, _folder) = control().await;
    let mut wrong = Vec::new();
    for base in [
        "",
        "Base-Version:\r\n",
        "Base-Version: one\r\n",
        "Base-Version: -1\r\n",
        "Base-Version: +0\r\n",
        "Base-Version: 0.0\r\n",
        "Base-Version: 0x0\r\n",
        "Base-Version: 0 0\r\n",
        "Base-Version: 0, 0\r\n",
        "Base-Version: 0\r\nBase-Version: 0\r\n",
        "Base-Version: 0\r\nBase-Version: 1\r\n",
        "Base-Version: 18446744073709551616\r\n",
        "Base-Version: \u{e9}0\r\n",
        &format!("Base-Version: {}0\r\n", "0".repeat(60_000)),
    ] {
        for path in ["replace", "modify"] {
            let request = closing(&replace(base, CONFIG)).replacen("replace", path, 1);
            let answer = raw(control, &request).await;
            if status(&answer) != "400" || !answer.contains("Base-Version") {
                let base: String = base.chars().take(60).collect();
                wrong.push((path, base, answer));
            }
        }
    }
    let big = "x".repeat(9_000_000);
    let inside = "POST /evacuation/z/begin HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n";
    for (request, wanted, field) in [
        (closing(&replace("Base-Version: 0\r\n", &big)), "413", "the body"),
        (
            replace("Base-Version: 0\r\n", &inside.repeat(130_000)),
            "413",
            "the body",
        ),
        (closing(&replace("Base-Version: 0\r\n", "")), "400", "the body"),
        (
            closing(&replace("Base-Version: 0\r\n", "{\"Version\":1")),
            "400",
            "the body",
        ),
        (
            closing(&replace(
                "Base-Version: 0\r\n",
                &CONFIG.replace("\"Version\":1,", ""),
            )),
            "400",
            "Version",
        ),
        (
            closing(&replace(
                "Base-Version: 0\r\n",
                &CONFIG.replace(":1,", ":\"one\","),
            )),
            "400",
            "invalid type",
        ),
    ] {
        let answer = raw(control, &request).await;
        if status(&answer) != wanted || !answer.contains(field) || answer.matches("HTTP/1.1").count() != 1 {
            wrong.push(("body", request.chars().take(200).collect(), answer));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    let state = node.state.get();
    assert_eq!(
        (state.version(), state.evacuated.len()),
        (0, 0),
        "nothing was taken"
    );
    let good = closing(&replace("Base-Version: 0\r\n", CONFIG));
    for _ in 0..2 {
        assert_eq!(status(&raw(control, &good).await), "200");
    }
    assert_eq!(node.state.get().version(), 1);
}

#[actix_rt::test]
async fn an_answer_belongs_to_the_request_on_its_connection() {
    let (node, control, _folder) = control().await;
    // A caller that gives up gets nothing more, and nobody else gets its answer.
    let mut gone = TcpStream::connect(control).await.expect("connects");
    let order = replace("Base-Version: 0\r\n", CONFIG);
    gone.write_all(order.as_bytes()).await.expect("sends");
    drop(gone);
    for _ in 0..50 {
        let answer = raw(control, READ).await;
        assert!(["200", "404"].contains(&status(&answer)), "{answer}");
        assert_eq!(answer.matches("HTTP/1.1").count(), 1);
        assert_eq!(
            status(&answer) == "200",
            answer.contains("AccessPoints"),
            "{answer}"
        );
    }
    // Orders sent ahead on one connection are answered in turn.
    let lost = replace(
        "Base-Version: 9\r\n",
        &CONFIG.replace("\"Version\":1,", "\"Version\":10,"),
    );
    let evacuate = "POST /evacuation/z/begin HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n";
    let nowhere = evacuate.replace("/z/", "/nowhere/");
    let answer = raw(control, &format!("{order}{lost}{nowhere}{evacuate}{READ}")).await;
    let told: Vec<&str> = answer.split("HTTP/1.1 ").skip(1).map(|a| &a[..3]).collect();
    assert_eq!(told, ["200", "412", "404", "200", "200"], "{answer}");
    assert!(answer.ends_with(CONFIG));
    let state = node.state.get();
    assert_eq!((state.version(), state.evacuated.len()), (1, 1));
}

/// A command to begin or to finish the evacuation of a zone.
fn evacuation(what: &str) -> String {
    format!("POST /evacuation/z/{what} HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n")
}

/// A command that reaches a process which stands still, as this thread does meanwhile, from a
/// caller that has gone on by then.
fn leave_behind(control: SocketAddrV4, command: &str) {
    let mut gone = std::net::TcpStream::connect(control).expect("connects");
    std::io::Write::write_all(&mut gone, command.as_bytes()).expect("sends");
}

/// Guards against a command that is read late, when its caller has sent it again elsewhere, and
/// takes back a newer one (EVAC; review case 5).
#[actix_rt::test]
async fn a_command_whose_caller_has_gone_is_not_carried_out() {
    let (node, control, _folder) = control().await;
    let first = closing(&replace("Base-Version: 0\r\n", CONFIG));
    assert_eq!(status(&raw(control, &first).await), "200");
    for what in ["begin", "finish", "begin"] {
        let answer = raw(control, &closing(&evacuation(what))).await;
        assert_eq!(status(&answer), "200", "{what}: {answer}");
        actix_rt::time::sleep(Duration::from_millis(
            config::constants::REPEATED_COMMAND_MS + 100,
        ))
        .await;
    }
    leave_behind(control, &evacuation("finish"));
    leave_behind(control, &evacuation("begin"));
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(node.state.get().evacuated.get("z"), Some(&1));
    let answer = raw(control, &closing(&evacuation("finish"))).await;
    assert_eq!(status(&answer), "200", "{answer}");
    assert!(node.state.get().evacuated.is_empty());
}
