//! The form is recovered from noisy points, prediction intervals have the nominal coverage, and the hold-out is excluded.

use rand::rngs::StdRng;
use rand::SeedableRng;
use rand_distr::{Distribution, Normal};
use tansy_capacity::fit::{fit, Fit, FitError, FittedLine, Form, HoldOut, Interval, Point};

const SIZES: [f64; 6] = [50.0, 100.0, 300.0, 1_000.0, 2_000.0, 4_000.0];

/// Three points per size with normally distributed noise.
fn noisy_points(truth: impl Fn(f64) -> f64, deviation: f64, seed: u64) -> Vec<Point> {
    let mut random = StdRng::seed_from_u64(seed);
    let noise = Normal::new(0.0, deviation).expect("valid standard deviation");
    let sizes = SIZES.into_iter().flat_map(|x| [x; 3]);
    sizes
        .map(|x| Point {
            x,
            y: truth(x) + noise.sample(&mut random),
        })
        .collect()
}

/// How many of 100 seeds give a form with this name, and the last such fit.
fn count_fits_with_form(
    name: &str,
    truth: impl Fn(f64) -> f64 + Copy,
    deviation: f64,
) -> (usize, Fit) {
    let fits: Vec<Fit> = (0..100)
        .map(|seed| fit(&noisy_points(truth, deviation, seed), None).expect("six sizes"))
        .filter(|fit| fit.line.form.name() == name)
        .collect();
    (
        fits.len(),
        fits.last().cloned().expect("at least one fit has the form"),
    )
}

#[test]
fn each_form_is_recovered_from_noise() {
    let (count, fit) = count_fits_with_form("flat", |_| 400.0, 20.0);
    assert!(count >= 95, "flat in {count} of 100");
    assert!((fit.line.intercept - 400.0).abs() < 20.0);
    let (count, fit) = count_fits_with_form("log", |x| 100.0 + 50.0 * x.ln(), 8.0);
    assert!(count >= 95, "log in {count} of 100");
    assert!((fit.line.coefficient - 50.0).abs() < 8.0);
    let (count, fit) = count_fits_with_form("linear", |x| 100.0 + 2.0 * x, 30.0);
    assert!(count >= 95, "linear in {count} of 100");
    assert!((fit.line.coefficient - 2.0).abs() < 0.2);
    let (count, fit) = count_fits_with_form("worse", |x| 100.0 + 0.4 * x * x.ln(), 30.0);
    assert!(count >= 95, "x ln x in {count} of 100");
    assert!((fit.line.coefficient - 0.4).abs() < 0.02);
    let (count, fit) = count_fits_with_form("worse", |x| 100.0 + 0.001 * x * x, 30.0);
    assert!(count >= 95, "x^2 in {count} of 100");
    assert_eq!(fit.line.form, Form::Quadratic);
}

/// The simplest form within 10% of the smallest error is chosen, even if another has a smaller error.
#[test]
fn simpler_form_is_preferred_within_tolerance() {
    let mut ties = 0;
    for seed in 0..100 {
        let chosen = fit(&noisy_points(|x| 100.0 + 2.0 * x, 900.0, seed), None).expect("six sizes");
        let error_of = |form: Form| {
            chosen
                .validation_errors
                .iter()
                .find(|e| e.0 == form)
                .expect("tried")
                .1
        };
        let smallest_error = chosen
            .validation_errors
            .iter()
            .map(|e| e.1)
            .fold(f64::INFINITY, f64::min);
        assert!(
            error_of(chosen.line.form) <= 1.1 * smallest_error,
            "{chosen:?}"
        );
        let simpler = Form::ALL.into_iter().take_while(|s| *s != chosen.line.form);
        assert!(
            simpler
                .into_iter()
                .all(|s| error_of(s) > 1.1 * smallest_error),
            "{chosen:?}"
        );
        ties += usize::from(error_of(chosen.line.form) > smallest_error);
    }
    assert!(ties >= 5, "{ties} of 100");
}

#[test]
fn cost_that_falls_with_size_is_fitted_as_constant() {
    let chosen = fit(&noisy_points(|x| 500.0 - 0.05 * x, 1.0, 1), None).expect("six sizes");
    assert_eq!(chosen.line.form, Form::Constant);
    assert!(chosen.relative_rms > 0.01, "the residuals show the misfit");
}

/// A further run at ten times the largest size lies in the prediction interval with a probability of 95%.
#[test]
fn prediction_interval_covers_95_percent_of_further_runs() {
    for (form, truth) in [
        (Form::Constant, (|_| 400.0) as fn(f64) -> f64),
        (Form::Logarithmic, |x| 100.0 + 50.0 * x.ln()),
        (Form::Linear, |x| 100.0 + 2.0 * x),
    ] {
        let noise = Normal::new(0.0, 20.0).expect("valid standard deviation");
        let mut covered = 0;
        for seed in 0..2_000 {
            let line = FittedLine::least_squares(form, &noisy_points(truth, 20.0, seed))
                .expect("six sizes");
            let interval = line
                .predict_interval(40_000.0)
                .expect("degrees of freedom are left");
            let next = truth(40_000.0) + noise.sample(&mut StdRng::seed_from_u64(seed + 1_000_000));
            covered += usize::from((interval.low..=interval.high).contains(&next));
        }
        // 1,900 are expected; 39 is four standard deviations of the binomial distribution.
        assert!(
            (1_861..=1_939).contains(&covered),
            "{form:?}: {covered} of 2,000"
        );
    }
}

/// Compares a fit with values worked by hand; the quantile of Student's t for one degree of freedom is 12.7062.
#[test]
fn linear_fit_matches_values_worked_by_hand() {
    let points = [(0.0, 1.0), (1.0, 2.0), (2.0, 4.0)].map(|(x, y)| Point { x, y });
    let line = FittedLine::least_squares(Form::Linear, &points).expect("three points");
    assert!((line.intercept - 5.0 / 6.0).abs() < 1e-12 && (line.coefficient - 1.5).abs() < 1e-12);
    assert!((line.rms - (1.0f64 / 18.0).sqrt()).abs() < 1e-12);
    let interval = line
        .predict_interval(3.0)
        .expect("one degree of freedom is left");
    // Residual variance 1/6; variance factor 1 + 1/n + (x - mean)^2 / Sxx = 1 + 1/3 + 4/2.
    let half = 12.7062 * (1.0f64 / 6.0 * (1.0 + 1.0 / 3.0 + 2.0)).sqrt();
    assert!(
        (interval.high - interval.mid - half).abs() < 1e-3,
        "{interval:?} {half}"
    );
}

#[test]
fn hold_out_is_excluded_from_the_fit() {
    let mut points: Vec<Point> = SIZES
        .map(|x| Point {
            x,
            y: 10.0 + 2.0 * x,
        })
        .to_vec();
    points[5].y = 16_020.0; // twice the value predicted from the other sizes
    let chosen = fit(&points, None).expect("six sizes");
    assert_eq!(
        (
            chosen.line.form,
            chosen.size_count,
            chosen.run_count,
            chosen.hold_out.size
        ),
        (Form::Linear, 6, 5, 4_000.0)
    );
    assert!((chosen.hold_out.predicted.mid - 8_010.0).abs() < 1e-6);
    assert!((chosen.hold_out.error() + 0.5).abs() < 1e-9 && chosen.hold_out.missed());
    assert_eq!(chosen.size_range, (50.0, 2_000.0));
    let chosen = fit(&points[..5], Some(300.0)).expect("five sizes");
    assert!(
        (chosen.hold_out.size, chosen.hold_out.missed()) == (300.0, false)
            && chosen.hold_out.error().abs() < 1e-9
    );
}

/// A hold-out is missed only if it is outside the interval and the relative error is above 10%.
#[test]
fn hold_out_is_missed_outside_interval_and_tolerance() {
    let missed = |measured: f64, half_width: f64| {
        HoldOut {
            size: 1.0,
            measured,
            predicted: Interval {
                mid: 100.0,
                low: 100.0 - half_width,
                high: 100.0 + half_width,
            },
        }
        .missed()
    };
    assert!(missed(150.0, 10.0) && missed(60.0, 10.0));
    assert!(!missed(150.0, 60.0) && !missed(105.0, 1.0) && !missed(100.0, 0.0));
}

#[test]
fn too_few_sizes_are_rejected() {
    let points = |count: usize| -> Vec<Point> {
        SIZES[..count]
            .iter()
            .flat_map(|x| [10.0, 11.0].map(|y| Point { x: *x, y }))
            .collect()
    };
    for count in 0..4 {
        assert_eq!(
            fit(&points(count), None).map(|_| ()),
            Err(FitError::TooFewSizes(count))
        );
    }
    assert!(fit(&points(4), None).is_ok());
    assert_eq!(
        fit(&points(5), Some(7.0)).map(|_| ()),
        Err(FitError::HoldOutNotMeasured(7.0))
    );
}
