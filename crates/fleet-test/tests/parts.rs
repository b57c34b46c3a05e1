//! What a fleet is made of, without starting one.

use config::{Configuration, Settings};
use fleet_test::net::Net;
use fleet_test::node::leads_in;
use fleet_test::orders;
use fleet_test::settings::{self, Machine};
use std::path::Path;

#[test]
fn settings_files_are_valid_and_ports_are_alike() {
    let net = Net::find(settings::MACHINES).expect("free addresses");
    let seeds = [net.control(1), net.control(2), net.control(3)];
    for number in 1..settings::MACHINES {
        let disk = Path::new("/data");
        let machine = Machine {
            number,
            initial: number == 1,
            disk: (number < 6).then_some(disk),
        };
        let read = Settings::parse(&settings::write(&net, &seeds, &machine)).expect("valid");
        assert_eq!(read.own_entity.node_name, settings::name(number));
        assert_eq!(read.own_entity.data_directory.is_some(), number < 6);
        assert_eq!(read.own_entity.initial_start, number == 1);
        assert_eq!(read.network.listen_points.control, Some(net.control(number)));
        assert_eq!(read.network.internal_ports, net.internal_ports());
        assert_eq!(net.control(number).port(), net.control(1).port());
    }
}

#[test]
fn configurations_are_valid_and_tell_whose_they_are() {
    let mine = Configuration::parse(&orders::configuration(4, "a", 300)).expect("valid");
    assert_eq!(mine.hosts[orders::HOST].len(), 300);
    let path = orders::path_of(4, "a");
    assert!(mine.route(orders::HOST, &path).is_some());
    let theirs = Configuration::parse(&orders::configuration(4, "b", 300)).expect("valid");
    assert!(theirs.route(orders::HOST, &path).is_none());
    let fault = Configuration::parse(&orders::invalid(4, "bad-7")).expect_err("invalid");
    assert!(fault.to_string().contains("bad-7"), "{fault}");
}

#[test]
fn the_log_tells_who_leads() {
    let log = "level=info event=leads term=2\nlevel=info event=current index=3 version=0\n";
    assert_eq!(leads_in(log), Some(2));
    assert_eq!(
        leads_in(&format!("{log}level=info event=leads_no_more term=3\n")),
        None
    );
    assert_eq!(
        leads_in("level=info event=leads_no_more term=3\nlevel=info event=leads term=7"),
        Some(7)
    );
}
