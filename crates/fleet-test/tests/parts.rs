//! Tests the building blocks of a fleet without starting one.

use config::{Configuration, Settings};
use fleet_test::net::Net;
use fleet_test::node::leading_term;
use fleet_test::orders;
use fleet_test::settings::{self, Machine};
use std::path::Path;

#[test]
fn settings_files_are_valid_and_nodes_share_ports() {
    let net = Net::find(settings::MAX_MACHINES).expect("free addresses");
    let seeds = [net.control(1), net.control(2), net.control(3)];
    for number in 1..settings::MAX_MACHINES {
        let disk = Path::new("/data");
        let machine = Machine {
            number,
            is_initial_start: number == 1,
            disk: (number < 6).then_some(disk),
            tolerated_regions: 1,
            zone: number,
        };
        let parsed = Settings::parse(&settings::render(&net, &seeds, &machine)).expect("valid");
        assert_eq!(parsed.own_entity.node_name, settings::name(number));
        assert_eq!(parsed.own_entity.data_directory.is_some(), number < 6);
        assert_eq!(parsed.own_entity.initial_start, number == 1);
        assert_eq!(parsed.network.listen_points.control, Some(net.control(number)));
        assert_eq!(parsed.network.internal_ports, net.internal_ports());
        assert_eq!(net.control(number).port(), net.control(1).port());
    }
}

#[test]
fn configurations_are_valid_and_identify_their_maker() {
    let own = Configuration::parse(&orders::configuration(4, "a", 300)).expect("valid");
    assert_eq!(own.hosts[orders::HOST].len(), 300);
    let path = orders::path_of(4, "a");
    assert!(own.route(orders::HOST, &path).is_some());
    let other = Configuration::parse(&orders::configuration(4, "b", 300)).expect("valid");
    assert!(other.route(orders::HOST, &path).is_none());
    let error = Configuration::parse(&orders::invalid(4, "bad-7")).expect_err("invalid");
    assert!(error.to_string().contains("bad-7"), "{error}");
}

#[test]
fn leadership_is_read_from_the_log() {
    let log = "level=info event=leads term=2\nlevel=info event=current index=3 version=0\n";
    assert_eq!(leading_term(log), Some(2));
    assert_eq!(
        leading_term(&format!("{log}level=info event=leads_no_more term=3\n")),
        None
    );
    assert_eq!(
        leading_term("level=info event=leads_no_more term=3\nlevel=info event=leads term=7"),
        Some(7)
    );
}
