//! Names of defects, and the file that names one.

use super::marker::{append_defect_marker, parse_defect_marker};
use super::InjectedDefect;
use clap::ValueEnum;

#[test]
fn a_defect_has_one_name_on_the_command_line_in_results_and_in_a_file() {
    for &defect in InjectedDefect::value_variants() {
        let json = serde_json::to_string(&defect).expect("plain data");
        let value = defect.to_possible_value().expect("none is hidden");
        assert_eq!(json, format!("\"{}\"", defect.name()));
        assert_eq!(value.get_name(), defect.name());
        assert_eq!(InjectedDefect::from_str(defect.name(), false), Ok(defect));
    }
}

#[test]
fn the_end_of_a_program_names_its_defect() {
    let program = append_defect_marker(b"a program", "slow");
    assert_eq!(program, b"a program\nTANSY-DAY-PLANT=slow");
    assert_eq!(parse_defect_marker(&program).as_deref(), Some("slow"));
    assert_eq!(parse_defect_marker(b"a program"), None);
}

#[test]
fn the_last_name_counts() {
    let program = append_defect_marker(&append_defect_marker(b"a program", "slow"), "");
    assert_eq!(parse_defect_marker(&program).as_deref(), Some(""));
}
