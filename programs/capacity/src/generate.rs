//! `page`: generates the page and its plots from the recorded runs, the definitions and the template.

use crate::error::{CapacityError, Errors};
use crate::figures::{Definitions, Evaluation};
use crate::files::{entries, file_name, read, write};
use crate::page::page;
use crate::plot;
use crate::runs::RunStore;
use std::fmt;
use std::path::{Path, PathBuf};

/// The result of `page`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PageSummary {
    /// Plots beside the page.
    pub plot_count: usize,
    /// Runs that they are made from.
    pub run_count: usize,
}

impl fmt::Display for PageSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let PageSummary {
            plot_count,
            run_count,
        } = self;
        write!(
            f,
            "made CAPACITY.md and {plot_count} plots from {run_count} runs"
        )
    }
}

/// A generated file.
pub(crate) struct OutputFile {
    /// Its path under the folder of documentation.
    pub(crate) path: PathBuf,
    pub(crate) text: String,
}

/// Generates the page and its plots in the folder of documentation, and removes plots that no slope has any more.
pub fn generate(docs: &Path) -> Result<PageSummary, Errors> {
    let (store, _) = read_store(docs)?;
    let files = outputs(docs, &store)?;
    let img = docs.join("img");
    std::fs::create_dir_all(&img).map_err(CapacityError::file(&img))?;
    for path in stray_plots(docs, &files)? {
        let path = docs.join(path);
        std::fs::remove_file(&path).map_err(CapacityError::file(&path))?;
    }
    for file in &files {
        write(&docs.join(&file.path), &file.text)?;
    }
    Ok(PageSummary {
        plot_count: files.len() - 1,
        run_count: store.runs.len(),
    })
}

/// The recorded runs, and the text of their file.
pub(crate) fn read_store(docs: &Path) -> Result<(RunStore, String), Errors> {
    let path = docs.join("capacity/slopes.json");
    let text = read(&path)?;
    Ok((RunStore::read(&file_name(&path), &text)?, text))
}

/// The page, first, and its plots.
pub(crate) fn outputs(docs: &Path, store: &RunStore) -> Result<Vec<OutputFile>, Errors> {
    let figures = docs.join("capacity/figures.toml");
    let template = docs.join("capacity/CAPACITY.in.md");
    let definitions = Definitions::read(&file_name(&figures), &read(&figures)?)?;
    let evaluation = Evaluation::new(&file_name(&figures), definitions, &store.runs)?;
    let text = page(&file_name(&template), &read(&template)?, &evaluation, store)?;
    let mut files = vec![OutputFile {
        path: PathBuf::from("CAPACITY.md"),
        text,
    }];
    for plot in plot::all(&evaluation)? {
        files.push(OutputFile {
            path: Path::new("img").join(plot.file_name),
            text: plot.svg,
        });
    }
    Ok(files)
}

/// Plots in the folder of images that no slope has: paths under the folder of documentation.
pub(crate) fn stray_plots(docs: &Path, files: &[OutputFile]) -> Result<Vec<PathBuf>, Errors> {
    let is_plot = |name: &str| name.starts_with("capacity-") && name.ends_with(".svg");
    Ok(entries(&docs.join("img"))?
        .iter()
        .filter_map(|path| path.file_name()?.to_str())
        .filter(|name| is_plot(name))
        .map(|name| Path::new("img").join(name))
        .filter(|path| files.iter().all(|file| file.path != *path))
        .collect())
}
