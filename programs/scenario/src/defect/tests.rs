//! Names of defects, and the marker in an executable.

use super::marker::{append_defect_marker, parse_defect_marker};
use super::InjectedDefect;
use clap::ValueEnum;

#[test]
fn a_defect_has_the_same_name_on_the_command_line_in_results_and_in_its_marker() {
    for &defect in InjectedDefect::value_variants() {
        let json = serde_json::to_string(&defect).expect("serializes");
        let value = defect.to_possible_value().expect("none is hidden");
        assert_eq!(json, format!("\"{}\"", defect.name()));
        assert_eq!(value.get_name(), defect.name());
        assert_eq!(InjectedDefect::from_str(defect.name(), false), Ok(defect));
    }
}

#[test]
fn the_appended_marker_is_parsed() {
    let program = append_defect_marker(b"a program", "slow");
    assert_eq!(program, b"a program\nTANSY-DAY-PLANT=slow");
    assert_eq!(parse_defect_marker(&program).as_deref(), Some("slow"));
    assert_eq!(parse_defect_marker(b"a program"), None);
}

#[test]
fn the_last_marker_takes_effect() {
    let program = append_defect_marker(&append_defect_marker(b"a program", "slow"), "");
    assert_eq!(parse_defect_marker(&program).as_deref(), Some(""));
}
