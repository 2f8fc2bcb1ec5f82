# gnuplot -e "csv='FILE'; png='FILE'" bench/trade.gp
set datafile separator ','
set terminal pngcairo size 900,600
set output png
set title "Weight of a token prefilled again: latency against wasted cache"
set xlabel "wasted cache (% of prompt tokens)"
set ylabel "program latency, 95th percentile (s)"
set key top right
plot "< grep ^quote,peak ".csv using 8:5 with linespoints pt 7 title "quote, peak", \
     "< grep ^quote,peak ".csv using 8:5:3 with labels offset 1,0.7 notitle, \
     "< grep ^kiosk,peak ".csv using 8:5 with linespoints pt 5 title "kiosk, peak", \
     "< grep ^kiosk,peak ".csv using 8:5:3 with labels offset 1,0.7 notitle
