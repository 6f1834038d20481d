//! Former names of commands and flags are still taken.

use super::{Arguments, Command, RolloutCommand};
use clap::{CommandFactory, Parser};

fn parse(arguments: &[&str]) -> Command {
    let all = ["tansy-fleet"].iter().chain(arguments);
    match Arguments::try_parse_from(all) {
        Ok(arguments) => arguments.command,
        Err(error) => panic!("{arguments:?}: {error}"),
    }
}

#[test]
fn the_command_line_is_consistent() {
    Arguments::command().debug_assert();
}

#[test]
fn replace_voter_is_also_taken_as_seat_instead() {
    let forms: [&[&str]; 3] = [
        &["replace-voter", "f5", "--replaces", "f2", "--wait", "3"],
        &["seat", "f5", "--instead", "f2", "--wait", "3"],
        &["seat", "f5", "--replaces", "f2", "--wait", "3"],
    ];
    for form in forms {
        let Command::ReplaceVoter {
            new,
            replaces,
            wait,
        } = parse(form)
        else {
            panic!("{form:?} is another command");
        };
        assert_eq!((new.as_str(), replaces.as_str(), wait), ("f5", "f2", 3.0));
    }
}

#[test]
fn rollout_is_also_taken_as_roll() {
    for name in ["rollout", "roll"] {
        let begin = parse(&[name, "begin", "--settings", "a.cue", "--stages", "0.5,1"]);
        let Command::Rollout {
            command: RolloutCommand::Begin(arguments),
        } = begin
        else {
            panic!("{name} begin is another command");
        };
        assert_eq!(arguments.stages, [0.5, 1.0]);
        let status = parse(&[name, "status", "--watch"]);
        assert!(matches!(
            status,
            Command::Rollout {
                command: RolloutCommand::Status { watch: true }
            }
        ));
    }
}
