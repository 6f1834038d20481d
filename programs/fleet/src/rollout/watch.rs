//! `rollout status --watch`: shows the last rollout until it ends.

use super::{last_rollout, rollout_text};
use crate::{terminal, CommandContext, FleetError};
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEvent, KeyModifiers};
use std::io::IsTerminal;
use std::time::Duration;
use tansy_rollout::{Rollout, RolloutPhase};

/// Time between two requests for the rollout.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

pub(super) fn watch(context: &mut CommandContext) -> Result<(), FleetError> {
    let output = context.output;
    let rollout = if !output.json && std::io::stdout().is_terminal() {
        let rollout = watch_in_terminal(context)?;
        output.show(&rollout, || rollout_text(&rollout));
        rollout
    } else {
        watch_in_lines(context)?
    };
    if rollout.phase == RolloutPhase::RolledBack {
        return Err(FleetError::Abandoned(rollout.reason));
    }
    Ok(())
}

/// Prints the rollout once per interval until it ends.
fn watch_in_lines(context: &mut CommandContext) -> Result<Rollout, FleetError> {
    loop {
        let rollout = last_rollout(context)?;
        context.output.show(&rollout, || rollout_text(&rollout));
        if rollout.has_ended() {
            return Ok(rollout);
        }
        context.client.wait(WATCH_INTERVAL);
    }
}

/// Draws the rollout until it ends, or until `q` or Ctrl-C is pressed.
fn watch_in_terminal(context: &mut CommandContext) -> Result<Rollout, FleetError> {
    let mut rollout = last_rollout(context)?;
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
            // The leader may be unreachable temporarily.
            if let Ok(latest) = last_rollout(context) {
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
