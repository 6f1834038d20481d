//! The defect that a program's file names, behind the program itself.

use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};

/// Stands before the defect's name. Earlier builds read the same bytes.
const MARKER: &[u8] = b"\nTANSY-DAY-PLANT=";
/// The longest end of a file that holds the marker and a name.
const TAIL_BYTES: u64 = 64;

/// The program's bytes with a defect's name behind them.
pub fn append_defect_marker(program: &[u8], name: &str) -> Vec<u8> {
    [program, MARKER, name.as_bytes()].concat()
}

/// The defect's name in this program's own file.
pub(super) fn read_own_defect() -> io::Result<Option<String>> {
    let mut file = File::open("/proc/self/exe")?;
    let length = file.metadata()?.len();
    file.seek(SeekFrom::Start(length.saturating_sub(TAIL_BYTES)))?;
    let mut end = Vec::new();
    file.read_to_end(&mut end)?;
    Ok(parse_defect_marker(&end))
}

/// The defect's name at the end of a program's file.
pub(super) fn parse_defect_marker(end: &[u8]) -> Option<String> {
    let mut windows = end.windows(MARKER.len());
    let at = windows.rposition(|window| window == MARKER)?;
    Some(String::from_utf8_lossy(&end[at + MARKER.len()..]).into_owned())
}
