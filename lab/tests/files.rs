//! Scenario files: what is wrong is told with its place, and what is changed or written means what it says.

use notchdoor_lab::scenario::{grid, load, parse, write, BUILT_IN};
use notchdoor_model::spec::Spec;

#[test]
fn what_is_wrong_is_named_with_file_line_and_field() {
    let cases: &[(&str, &[&str])] = &[
        ("length_s = 'long'", &["f:1:12: invalid type", "expected f64"]),
        ("length_s = 0.0", &["f:1:12: length_s: 0 is out of range: 1 to 86400 is allowed"]),
        ("proxies = -1", &["f:1:11: ", "expected u32"]),
        ("proxies = 0\n", &["f:1:11: proxies: 0 is out of range: 1 to 10000 is allowed"]),
        ("\n\n[workers]\ncout = 3", &["f:4:1: unknown field `cout`", "`count`"]),
        ("[workers]\n\ncores = 1.0\ncount = 0", &["f:4:9: workers.count: 0 is out of range"]),
        ("[workers]\nevict = 'mru'", &["f:2:9: unknown variant `mru`", "`lru`"]),
        ("[worker]\ncount = 3", &["f:1:2: unknown field `worker`", "`workers`"]),
        ("[load]\nshape = 'wavy'", &["f:2:9: unknown variant `wavy`", "`bursty`"]),
        ("[load]\nswing = 2.0", &["f:2:9: load.swing: 2 is out of range: 0 to 1"]),
        ("[load]\nshare = nan", &["f:2:9: load.share: NaN is out of range"]),
        (
            "[clients]\ntry_share = [0.9, 0.2]",
            &["f:2:13: clients.try_share: 0.9 is out of range: 0.01 to 0.2"],
        ),
        ("[[fault]]\nat_s = 1.0", &["f:1:1: missing field `kind`"]),
        ("[[fault]]\nkind = 'flood'\nat_s = 1.0", &["f:2:8: unknown variant `flood`", "`flush`"]),
        (
            "[[fault]]\nkind = 'flush'\nat_s = 1.0\nshare = 3.0",
            &["f:4:9: fault.0.share: 3 is out of range: 0.1 to 1"],
        ),
        (
            "[[fault]]\nkind = 'flush'\nat_s = 1.0\ncount = 3.0",
            &["f:4:9: fault.0.count: a `flush` fault has no such parameter; it has share"],
        ),
        (
            "[[fault]]\nkind = 'scan'\nat_s = 1.0",
            &["f:1:1: fault.0.length_s: a `scan` fault needs a length above 0"],
        ),
        (
            "[[fault]]\nkind = 'flush'\nat_s = 99.0",
            &["f:3:8: fault.0.at_s: 99 is not before the end of the day at 45"],
        ),
        (
            "[[fault]]\nkind = 'origin-stop'\nat_s = 1.0\nlength_s = 1.0\nfactor = 1.0",
            &["f:5:10: ", "a `origin-stop` fault has no such parameter; it has none"],
        ),
        (
            "[[tenant]]\nname = 'a'\nshare = 1.0\nusage = 0.0",
            &["f:1:1: tenant: share times usage is 0 for every tenant"],
        ),
        ("[[class]]\nname = 'a'", &["f:1:1: missing field `share`"]),
        // All at once, not the first.
        (
            "proxies = 0\nlength_s = 0.0\n[load]\nswing = 9.0",
            &["f:1:11: proxies", "f:2:12: length_s", "f:4:9: load.swing"],
        ),
        ("x = [", &["f:1:6: "]),
    ];
    for (text, told) in cases {
        let error = parse("f", text).err().unwrap_or_else(|| panic!("{text:?} is taken"));
        for part in *told {
            assert!(error.contains(part), "{text:?}: {error}");
        }
        assert!(error.lines().all(|line| line.starts_with("f:")), "{text:?}: {error}");
    }
    let error = load("no-such", &[]).unwrap_err();
    assert!(error.contains("no such built-in scenario") && error.contains("calm, payday"), "{error}");
}

#[test]
fn fields_are_set_by_their_paths() {
    let set = |changes: &[&str]| {
        let changes: Vec<String> = changes.iter().map(|c| (*c).to_owned()).collect();
        load("churn", &changes).map(|s| s.spec)
    };
    let spec = set(&["workers.count=20", "load.share=1", "load.shape=bursty", "fault.0.back_s=5", "seed=9"])
        .unwrap();
    assert_eq!((spec.backends.count, spec.load.share, spec.seed), (20, 1.0, 9));
    assert_eq!((spec.faults[0].back_s, spec.faults.len()), (Some(5.0), 7));
    assert_eq!(set(&["zones=['a', 'b']"]).unwrap().zones, ["a", "b"]);
    for (change, told) in [
        ("workers.count", "should be PATH=VALUE"),
        ("workers.cuont=2", "unknown field `cuont`"),
        ("workers.count=0", "workers.count: 0 is out of range"),
        ("fault.99.share=1", "there is no fault.99, there are 7 (from 0)"),
        ("fault.share=1", "the number of the entry and a field should follow"),
        ("length_s.x=1", "--set length_s.x=1: "),
    ] {
        let error = set(&[change]).unwrap_err();
        assert!(error.starts_with("--set ") && error.contains(told), "{change}: {error}");
    }
}

#[test]
fn a_grid_is_every_choice_of_each() {
    let of = |set: &[&str]| grid(&set.iter().map(|s| (*s).to_owned()).collect::<Vec<_>>()).unwrap();
    assert_eq!(of(&[]), [Vec::<String>::new()]);
    assert_eq!(of(&["a=1,2", "b=3,4"]), [["a=1", "b=3"], ["a=1", "b=4"], ["a=2", "b=3"], ["a=2", "b=4"]]);
    assert_eq!(of(&["a=[1,2]"]), [["a=[1,2]"]]);
}

#[test]
fn what_is_written_means_the_same_and_holds_no_more_than_it_must() {
    assert_eq!(write(&Spec::default()), "");
    for (name, _) in BUILT_IN {
        let spec = load(name, &[]).unwrap().spec;
        assert!(!spec.about.is_empty(), "{name} says what it is for");
        let lean = write(&spec);
        assert_eq!(write(&parse(name, &lean).unwrap()), lean, "{name}");
        assert!(lean.lines().count() < 90, "{name}: {lean}");
    }
}
