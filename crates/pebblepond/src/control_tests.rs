//! The control interface over HTTP, on a node that is the leader of a single-node system: each
//! response belongs to the request on its connection, and invalid input is rejected with the name
//! of the field.

use crate::forwarding_tests::{free_port, status, CONFIG};
use crate::kernel::{start_all_except, NodeContext};
use config::Settings;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A temporary directory that is removed at the end of a test.
pub(crate) struct TempDirectory(std::path::PathBuf);

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Starts a single-node system. Returns the node once it is the leader, and its control address.
pub(crate) async fn start_single_node() -> (Rc<NodeContext>, SocketAddrV4, TempDirectory) {
    let directory = TempDirectory(std::env::temp_dir().join(format!("control-{:x}", rand::random::<u64>())));
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
        directory.0.display()
    );
    let settings = Settings::parse(&text).expect("settings");
    let node = NodeContext::new(settings, String::new(), 0);
    let excluded = [
        "proxy",
        "discovery",
        "key_ownership",
        "placement",
        "rollouts",
        "shutdown",
        "counter_log",
    ];
    start_all_except(&node, &excluded).expect("starts");
    while !node.status.get().is_leader || !node.status.get().is_current {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    (node, SocketAddrV4::new([127, 0, 0, 1].into(), port), directory)
}

fn replace_request(headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /configuration/replace HTTP/1.1\r\nHost: c\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
}

fn with_connection_close(request: &str) -> String {
    request.replacen("Host: c\r\n", "Host: c\r\nConnection: close\r\n", 1)
}

/// Sends as much of a text as the peer accepts, and reads until the peer closes the connection.
pub(crate) async fn send_raw(address: SocketAddrV4, text: &str) -> String {
    let stream = TcpStream::connect(address).await.expect("connects");
    let (mut reader, mut writer) = stream.into_split();
    let text = text.to_string();
    let send_task = actix_rt::spawn(async move {
        let _ = writer.write_all(text.as_bytes()).await;
        writer
    });
    let mut response_bytes = Vec::new();
    let _ = reader.read_to_end(&mut response_bytes).await;
    send_task.abort();
    String::from_utf8_lossy(&response_bytes).into_owned()
}

const READ: &str = "GET /configuration/read HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n";

#[actix_rt::test]
async fn invalid_input_is_rejected_with_its_field_and_changes_nothing() {
    let (node, control, _directory) = start_single_node().await;
    let mut failures = Vec::new();
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
            let request = with_connection_close(&replace_request(base, CONFIG)).replacen("replace", path, 1);
            let response = send_raw(control, &request).await;
            if status(&response) != "400" || !response.contains("Base-Version") {
                let base: String = base.chars().take(60).collect();
                failures.push((path, base, response));
            }
        }
    }
    let oversized_body = "x".repeat(9_000_000);
    let embedded_request = "POST /evacuation/z/begin HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n";
    for (request, expected_status, field) in [
        (
            with_connection_close(&replace_request("Base-Version: 0\r\n", &oversized_body)),
            "413",
            "the body",
        ),
        (
            replace_request("Base-Version: 0\r\n", &embedded_request.repeat(130_000)),
            "413",
            "the body",
        ),
        (
            with_connection_close(&replace_request("Base-Version: 0\r\n", "")),
            "400",
            "the body",
        ),
        (
            with_connection_close(&replace_request("Base-Version: 0\r\n", "{\"Version\":1")),
            "400",
            "the body",
        ),
        (
            with_connection_close(&replace_request(
                "Base-Version: 0\r\n",
                &CONFIG.replace("\"Version\":1,", ""),
            )),
            "400",
            "Version",
        ),
        (
            with_connection_close(&replace_request(
                "Base-Version: 0\r\n",
                &CONFIG.replace(":1,", ":\"one\","),
            )),
            "400",
            "invalid type",
        ),
    ] {
        let response = send_raw(control, &request).await;
        if status(&response) != expected_status
            || !response.contains(field)
            || response.matches("HTTP/1.1").count() != 1
        {
            failures.push(("body", request.chars().take(200).collect(), response));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
    let state = node.state.get();
    assert_eq!(
        (state.version(), state.evacuated.len()),
        (0, 0),
        "a rejected command changed the state"
    );
    let valid_request = with_connection_close(&replace_request("Base-Version: 0\r\n", CONFIG));
    for _ in 0..2 {
        assert_eq!(status(&send_raw(control, &valid_request).await), "200");
    }
    assert_eq!(node.state.get().version(), 1);
}

#[actix_rt::test]
async fn a_response_belongs_to_the_request_on_its_connection() {
    let (node, control, _directory) = start_single_node().await;
    // A caller that closes its connection receives nothing more, and no other caller receives its
    // response.
    let mut connection = TcpStream::connect(control).await.expect("connects");
    let command = replace_request("Base-Version: 0\r\n", CONFIG);
    connection.write_all(command.as_bytes()).await.expect("sends");
    drop(connection);
    for _ in 0..50 {
        let response = send_raw(control, READ).await;
        assert!(["200", "404"].contains(&status(&response)), "{response}");
        assert_eq!(response.matches("HTTP/1.1").count(), 1);
        assert_eq!(
            status(&response) == "200",
            response.contains("AccessPoints"),
            "{response}"
        );
    }
    // Pipelined commands on one connection are answered in order.
    let conflicting = replace_request(
        "Base-Version: 9\r\n",
        &CONFIG.replace("\"Version\":1,", "\"Version\":10,"),
    );
    let evacuate = "POST /evacuation/z/begin HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n";
    let unknown_zone = evacuate.replace("/z/", "/nowhere/");
    let response = send_raw(
        control,
        &format!("{command}{conflicting}{unknown_zone}{evacuate}{READ}"),
    )
    .await;
    let statuses: Vec<&str> = response.split("HTTP/1.1 ").skip(1).map(|a| &a[..3]).collect();
    assert_eq!(statuses, ["200", "412", "404", "200", "200"], "{response}");
    assert!(response.ends_with(CONFIG));
    let state = node.state.get();
    assert_eq!((state.version(), state.evacuated.len()), (1, 1));
}

/// Returns a command to begin or finish the evacuation of a zone.
fn evacuation(action: &str) -> String {
    format!("POST /evacuation/z/{action} HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n")
}

/// Sends a command and closes the connection before the node reads it: the node runs on this thread,
/// which is blocked meanwhile, like a paused process.
fn send_and_disconnect(control: SocketAddrV4, command: &str) {
    let mut connection = std::net::TcpStream::connect(control).expect("connects");
    std::io::Write::write_all(&mut connection, command.as_bytes()).expect("sends");
}

/// Guards against a command that is read late, after its caller has sent it again to another node,
/// and that reverts a newer command (EVAC; review case 5).
#[actix_rt::test]
async fn a_command_is_not_executed_after_its_caller_has_closed_the_connection() {
    let (node, control, _directory) = start_single_node().await;
    let first = with_connection_close(&replace_request("Base-Version: 0\r\n", CONFIG));
    assert_eq!(status(&send_raw(control, &first).await), "200");
    for action in ["begin", "finish", "begin"] {
        let response = send_raw(control, &with_connection_close(&evacuation(action))).await;
        assert_eq!(status(&response), "200", "{action}: {response}");
        actix_rt::time::sleep(Duration::from_millis(
            config::constants::REPEATED_COMMAND_WINDOW_MS + 100,
        ))
        .await;
    }
    send_and_disconnect(control, &evacuation("finish"));
    send_and_disconnect(control, &evacuation("begin"));
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(node.state.get().evacuated.get("z"), Some(&1));
    let response = send_raw(control, &with_connection_close(&evacuation("finish"))).await;
    assert_eq!(status(&response), "200", "{response}");
    assert!(node.state.get().evacuated.is_empty());
}

/// Guards against an acknowledged finish that is not in force: within the time in which callers
/// send a command again, a finish that follows another one and a begin is refused, and executed
/// afterwards (RECOVER; review case 6).
#[actix_rt::test]
async fn a_finish_that_may_be_a_repetition_is_not_acknowledged_until_it_is_executed() {
    let (node, control, _directory) = start_single_node().await;
    let first = with_connection_close(&replace_request("Base-Version: 0\r\n", CONFIG));
    assert_eq!(status(&send_raw(control, &first).await), "200");
    for action in ["begin", "finish", "begin"] {
        let response = send_raw(control, &with_connection_close(&evacuation(action))).await;
        assert_eq!(status(&response), "200", "{action}: {response}");
    }
    let resend_ms = node.settings.get().terms.bounds.acknowledge.ms;
    let mut refused = 0;
    for _ in 0..resend_ms / 200 + 10 {
        let response = send_raw(control, &with_connection_close(&evacuation("finish"))).await;
        if status(&response) == "200" {
            break;
        }
        assert_eq!(status(&response), "503", "{response}");
        assert_eq!(node.state.get().evacuated.get("z"), Some(&1));
        refused += 1;
        actix_rt::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(refused > 0);
    assert!(node.state.get().evacuated.is_empty());
}
