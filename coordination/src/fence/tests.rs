use super::*;

#[test]
fn lower_token_is_refused_and_equal_token_admitted() {
    let mut f = Fence::new(8);
    assert_eq!(f.admit("warm", 7), Ok(()));
    assert_eq!(f.admit("warm", 7), Ok(()));
    assert_eq!(f.admit("warm", 5), Err(Stale { wanted: 7 }));
    assert_eq!(f.admit("probe", 5), Ok(()), "each task has its own highest token");
}

#[test]
fn evicted_task_still_refuses_tokens_below_the_floor() {
    let mut f = Fence::new(2);
    f.admit("a", 10).unwrap();
    f.admit("b", 3).unwrap();
    f.admit("c", 4).unwrap(); // evicts "a" and raises the floor to 10
    assert_eq!(f.admit("a", 9), Err(Stale { wanted: 10 }));
    assert_eq!(f.admit("a", 11), Ok(()));
}
