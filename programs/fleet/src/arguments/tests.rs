//! Aliases of commands and flags are accepted.

use super::{Arguments, Command, RolloutCommand};
use clap::{CommandFactory, Parser};

fn parse(arguments: &[&str]) -> Command {
    let command_line = ["tansy-fleet"].iter().chain(arguments);
    match Arguments::try_parse_from(command_line) {
        Ok(arguments) => arguments.command,
        Err(error) => panic!("{arguments:?}: {error}"),
    }
}

#[test]
fn the_command_line_is_consistent() {
    Arguments::command().debug_assert();
}

#[test]
fn replace_voter_accepts_the_aliases_seat_and_instead() {
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
            panic!("{form:?} is parsed as another command");
        };
        assert_eq!((new.as_str(), replaces.as_str(), wait), ("f5", "f2", 3.0));
    }
}

#[test]
fn rollout_accepts_the_alias_roll() {
    for name in ["rollout", "roll"] {
        let begin = parse(&[name, "begin", "--settings", "a.cue", "--stages", "0.5,1"]);
        let Command::Rollout {
            command: RolloutCommand::Begin(arguments),
        } = begin
        else {
            panic!("{name} begin is parsed as another command");
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
