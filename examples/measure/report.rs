//! Output of measured series as CSV, plots, linear fits and tables.

use crate::Result;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// A cost measured at several sizes.
pub(crate) struct Series {
    /// The name of the series in file names and tables.
    pub(crate) name: &'static str,
    /// The unit of the sizes, the horizontal axis.
    pub(crate) size_unit: &'static str,
    /// The unit of the costs, the vertical axis.
    pub(crate) cost_unit: &'static str,
    /// The size to extrapolate to: the capacity required in two years.
    pub(crate) target_size: f64,
    /// Pairs of size and cost.
    pub(crate) points: Vec<(f64, f64)>,
}

/// A linear fit of a series.
struct Fit {
    intercept: f64,
    slope: f64,
    /// The largest deviation of a point from the line, relative to the largest cost.
    residual: f64,
}

/// Collects series and tables.
pub(crate) struct Report {
    root: PathBuf,
    tables: BTreeMap<String, String>,
    fits: BTreeMap<&'static str, Vec<String>>,
    group: &'static str,
}

impl Report {
    /// Creates a report that writes below the root of the repository.
    pub(crate) fn new(root: &Path) -> Result<Self> {
        std::fs::create_dir_all(root.join("docs/measurements"))?;
        Ok(Self {
            root: root.to_owned(),
            tables: BTreeMap::new(),
            fits: BTreeMap::new(),
            group: "",
        })
    }

    /// Starts a group: the fits of the series added from now on share one table.
    pub(crate) fn begin(&mut self, group: &'static str) {
        self.group = group;
    }

    /// Prints a progress message.
    pub(crate) fn progress(&self, text: &str) {
        eprintln!("measuring {text}");
    }

    /// Adds a series: writes its CSV file and plot, and fits a line.
    pub(crate) fn series(&mut self, series: &Series) -> Result<()> {
        let folder = self.root.join("docs/measurements");
        let mut csv = format!("{},{}\n", series.size_unit, series.cost_unit);
        for (size, cost) in &series.points {
            csv.push_str(&format!("{size},{cost}\n"));
        }
        std::fs::write(folder.join(format!("{}.csv", series.name)), csv)?;
        plot(&folder.join(format!("{}.svg", series.name)), series)?;
        let fit = Fit::of(&series.points);
        let sizes = series.points.iter().map(|(size, _)| format!("{size}"));
        let row = format!(
            "| {} | {} | {} | {} + {} x | {:.0} % | {} at {} |",
            series.name,
            series.cost_unit,
            sizes.collect::<Vec<_>>().join(", "),
            format_figure(fit.intercept),
            format_figure(fit.slope),
            fit.residual * 100.0,
            format_figure(fit.intercept + fit.slope * series.target_size),
            series.target_size,
        );
        println!("{row}");
        self.fits.entry(self.group).or_default().push(row);
        Ok(())
    }

    /// Adds a table with its heading.
    pub(crate) fn table(&mut self, name: &str, heading: &[&str], rows: &[Vec<String>]) {
        let mut text = format!("| {} |\n|{}\n", heading.join(" | "), "---|".repeat(heading.len()));
        for row in rows {
            text.push_str(&format!("| {} |\n", row.join(" | ")));
        }
        println!("{name}\n{text}");
        self.tables.insert(name.to_owned(), text);
    }

    /// Replaces the tables between their markers in the pages.
    pub(crate) fn refresh(mut self, pages: &[&str]) -> Result<()> {
        for (group, rows) in &self.fits {
            let heading = "| series | cost | sizes measured | fit | residual | extrapolated |\n\
                           |---|---|---|---|---|---|\n";
            let table = format!("{heading}{}\n", rows.join("\n"));
            self.tables.insert(format!("fits-{group}"), table);
        }
        for page in pages {
            let path = self.root.join(page);
            let Ok(mut text) = std::fs::read_to_string(&path) else { continue };
            for (name, table) in &self.tables {
                text = replace_between(&text, name, table);
            }
            std::fs::write(path, text)?;
        }
        Ok(())
    }
}

impl Fit {
    /// Fits a line by the method of least squares.
    fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
        let variance = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
        let slope = covariance / variance;
        let intercept = mean_y - slope * mean_x;
        let largest = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let distance = |(x, y): &(f64, f64)| (y - intercept - slope * x).abs() / largest;
        let residual = points.iter().map(distance).fold(0.0, f64::max);
        Self { intercept, slope, residual }
    }
}

/// Formats a value with three significant digits.
pub(crate) fn format_figure(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let digits = (2 - value.abs().log10().floor() as i32).clamp(0, 9);
    format!("{value:.*}", usize::try_from(digits).unwrap_or(0))
}

fn replace_between(text: &str, name: &str, table: &str) -> String {
    let start = format!("<!-- measured:{name} -->\n");
    let end = "<!-- end -->";
    let Some(from) = text.find(&start).map(|at| at + start.len()) else {
        return text.to_owned();
    };
    let Some(length) = text[from..].find(end) else {
        return text.to_owned();
    };
    format!("{}{table}{}", &text[..from], &text[from + length..])
}

fn plot(path: &Path, series: &Series) -> Result<()> {
    let largest = |values: Vec<f64>| values.into_iter().fold(0.0, f64::max) * 1.1;
    let width = largest(series.points.iter().map(|(size, _)| *size).collect());
    let height = largest(series.points.iter().map(|(_, cost)| *cost).collect());
    let fit = Fit::of(&series.points);
    let area = SVGBackend::new(path, (640, 400)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(70)
        .caption(series.name, ("sans-serif", 18))
        .build_cartesian_2d(0.0..width, 0.0..height)?;
    chart.configure_mesh().x_desc(series.size_unit).y_desc(series.cost_unit).draw()?;
    let line = [0.0, width].map(|size| (size, fit.intercept + fit.slope * size));
    chart.draw_series(LineSeries::new(line, &BLUE))?;
    chart.draw_series(series.points.iter().map(|&point| Circle::new(point, 4, RED.filled())))?;
    area.present()?;
    Ok(())
}
