//! Temporary folders that are removed at the end of a test.

use std::io;
use std::path::{Path, PathBuf};

/// A folder for one test within the system's temporary folder, removed when the value is dropped.
///
/// In a struct, declare the folder after the processes that use it: fields are dropped in declaration order.
#[derive(Debug)]
pub struct TestFolder {
    path: PathBuf,
}

impl TestFolder {
    /// Creates the folder. The name has to be unique within the test process.
    pub fn new(name: &str) -> io::Result<TestFolder> {
        let folder_name = format!("tansy-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(folder_name);
        std::fs::create_dir_all(&path)?;
        Ok(TestFolder { path })
    }

    /// The path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The path of a file in the folder; the file need not exist.
    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Writes a file in the folder and returns its path.
    pub fn write(&self, name: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.file(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        // A test does not fail because its folder can't be removed.
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
