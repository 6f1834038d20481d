//! The marker at the end of an executable that names its defect.

use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};

/// Precedes the defect's name. Earlier builds, which can be the old program of a rollout, read the same bytes.
const MARKER: &[u8] = b"\nTANSY-DAY-PLANT=";
/// Bytes at the end of the file in which the marker is searched for.
const TAIL_BYTES: u64 = 64;

/// Appends the marker and a defect's name to an executable.
pub fn append_defect_marker(program: &[u8], name: &str) -> Vec<u8> {
    [program, MARKER, name.as_bytes()].concat()
}

/// Reads the defect's name from this process's executable.
pub(super) fn read_own_defect() -> io::Result<Option<String>> {
    let mut file = File::open("/proc/self/exe")?;
    let length = file.metadata()?.len();
    file.seek(SeekFrom::Start(length.saturating_sub(TAIL_BYTES)))?;
    let mut end = Vec::new();
    file.read_to_end(&mut end)?;
    Ok(parse_defect_marker(&end))
}

/// The defect's name after the last marker, if one is present.
pub(super) fn parse_defect_marker(end: &[u8]) -> Option<String> {
    let mut windows = end.windows(MARKER.len());
    let at = windows.rposition(|window| window == MARKER)?;
    Some(String::from_utf8_lossy(&end[at + MARKER.len()..]).into_owned())
}
