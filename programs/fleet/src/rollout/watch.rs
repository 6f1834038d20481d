//! `rollout status --watch`: the last rollout again and again until it has ended.

use super::{last, plain};
use crate::{terminal, FleetError, Session};
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEvent, KeyModifiers};
use std::io::IsTerminal;
use std::time::Duration;
use tansy_rollout::{Rollout, RolloutPhase};

/// Time between two questions.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

pub(super) fn watch(session: &mut Session) -> Result<(), FleetError> {
    let output = session.output;
    let rollout = if !output.json && std::io::stdout().is_terminal() {
        let rollout = watch_in_terminal(session)?;
        output.show(&rollout, || plain(&rollout));
        rollout
    } else {
        watch_in_lines(session)?
    };
    if rollout.phase == RolloutPhase::RolledBack {
        return Err(FleetError::Abandoned(rollout.reason));
    }
    Ok(())
}

/// Prints the rollout until it has ended.
fn watch_in_lines(session: &mut Session) -> Result<Rollout, FleetError> {
    loop {
        let rollout = last(session)?;
        session.output.show(&rollout, || plain(&rollout));
        if rollout.has_ended() {
            return Ok(rollout);
        }
        session.client.wait(WATCH_INTERVAL);
    }
}

/// Draws the rollout until it has ended, or `q` or Ctrl-C is pressed.
fn watch_in_terminal(session: &mut Session) -> Result<Rollout, FleetError> {
    let mut rollout = last(session)?;
    let drawn = ratatui::run(|terminal| -> std::io::Result<()> {
        while !rollout.has_ended() {
            terminal.draw(|frame| terminal::draw(frame, &rollout))?;
            if event::poll(WATCH_INTERVAL)? {
                if let Event::Key(key) = event::read()? {
                    if is_quit(key) {
                        return Ok(());
                    }
                }
            }
            // The leader may be unreachable for a moment.
            if let Ok(latest) = last(session) {
                rollout = latest;
            }
        }
        Ok(())
    });
    drawn.map_err(|error| FleetError::Unreachable(format!("the terminal: {error}")))?;
    Ok(rollout)
}

fn is_quit(key: KeyEvent) -> bool {
    let control = key.modifiers.contains(KeyModifiers::CONTROL);
    key.code == KeyCode::Char('q') || control && key.code == KeyCode::Char('c')
}
