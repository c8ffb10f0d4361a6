"""Choice of instances, ejection and retry budgets."""
