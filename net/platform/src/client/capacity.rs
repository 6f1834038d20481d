//! Frees the connection of one client for another one.

use super::table::ClientTable;
use crate::driver::Driver;
use std::rc::Rc;

/// Frees a connection for another client, and returns false if there is none to free. Connections that are of no use to
/// their clients come first, then calls that are unlikely to be served. While a client has not sent its first byte, it may
/// soon give way itself, so neither is an idle connection closed on which a call was served, nor another call refused.
pub fn free_connection(driver: &Rc<Driver>, table: &ClientTable) -> bool {
    let free_likely = || table.evict_idle() || shed_waiting_call(driver, table, false);
    free_unlikely(driver, table) || !table.has_silent() && free_likely()
}

/// Frees a connection as [`free_connection`] does, or else one whose client has not sent a byte.
pub fn free_any_connection(driver: &Rc<Driver>, table: &ClientTable) -> bool {
    free_connection(driver, table) || table.evict_silent()
}

/// Frees a connection without refusing a call that may soon be served, and returns false if there is none to free.
pub fn free_spare_connection(driver: &Rc<Driver>, table: &ClientTable) -> bool {
    free_unlikely(driver, table) || table.evict_silent() || table.evict_idle()
}

fn free_unlikely(driver: &Rc<Driver>, table: &ClientTable) -> bool {
    table.evict_unused() || shed_waiting_call(driver, table, true)
}

/// Whether the dispatcher refused a waiting call, so that the connection of its client ends.
fn shed_waiting_call(driver: &Rc<Driver>, table: &ClientTable, only_unlikely: bool) -> bool {
    let before = table.evicting();
    driver.shed_waiting_call(only_unlikely);
    table.evicting() > before
}
